package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// tolerance is by how much the newest worth of a day may be below the best one.
const tolerance = 0.05

// day names a standard day of a deployment.
type day struct {
	site, name string
}

// score is what a day was worth on a commit.
type score struct {
	worth  float64
	commit string
}

// scored is a score of a day at a time, in the form of RFC 3339.
type scored struct {
	day
	score
	at string
}

// entry is the part of a journal entry that is compared.
type entry struct {
	Command   string    `json:"cmd"`
	Arguments []string  `json:"argv"`
	At        [2]string `json:"at"`
	Commit    string    `json:"head"`
	Dirty     bool      `json:"dirty"`
	OK        bool      `json:"ok"`
	Site      string    `json:"site"`
	Days      []struct {
		Name  string   `json:"name"`
		Worth *float64 `json:"G"`
	} `json:"days"`
}

// comparable reports whether the entry holds scores of a commit as it is, with all that is
// charged.
func (e *entry) comparable() bool {
	return e.Command == "score" && e.OK && !e.Dirty && !slices.Contains(e.Arguments, "--no-cpu")
}

// readScores returns the scores in the entries of a journal, the oldest first.
func readScores(journal string) ([]scored, error) {
	paths, err := filepath.Glob(filepath.Join(journal, "*.json"))
	if err != nil {
		return nil, fmt.Errorf("list journal: %w", err)
	}
	var scores []scored
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("read journal entry: %w", err)
		}
		var e entry
		err = json.Unmarshal(data, &e)
		if err != nil {
			return nil, fmt.Errorf("decode journal entry %s: %w", path, err)
		}
		if e.comparable() {
			scores = append(scores, e.scores()...)
		}
	}
	slices.SortStableFunc(scores, func(a, b scored) int { return strings.Compare(a.at, b.at) })
	return scores, nil
}

// scores returns the scores of the days in the entry that were played.
func (e *entry) scores() []scored {
	var scores []scored
	for _, d := range e.Days {
		if d.Worth == nil {
			continue
		}
		scores = append(scores, scored{
			day: day{
				site: e.Site,
				name: d.Name,
			},
			score: score{
				worth:  *d.Worth,
				commit: e.Commit[:min(7, len(e.Commit))],
			},
			at: e.At[0],
		})
	}
	return scores
}

// newest returns the last score of each day.
func newest(scores []scored) map[day]score {
	last := make(map[day]score)
	for _, s := range scores {
		last[s.day] = s.score
	}
	return last
}

// raise returns the days of a table with their best scores, those of the table included.
func raise(best map[day]score, scores []scored) map[day]score {
	raised := make(map[day]score)
	for d, s := range best {
		raised[d] = s
	}
	for _, s := range scores {
		present, ok := raised[s.day]
		if ok && s.worth > present.worth {
			raised[s.day] = s.score
		}
	}
	return raised
}

// fall is a day whose newest score is below the best one.
type fall struct {
	day
	best, last score
}

// String returns the fall as a line of text.
func (f fall) String() string {
	return fmt.Sprintf("%s %s: worth %.3f on %s, best %.3f on %s",
		f.site, f.name, f.last.worth, f.last.commit, f.best.worth, f.best.commit)
}

// findFalls returns the days of a table whose last score is below the best one by more than
// the tolerance, in the order of their names.
func findFalls(best, last map[day]score) []fall {
	var falls []fall
	for d, b := range best {
		l, ok := last[d]
		if !ok || l.worth >= b.worth-tolerance {
			continue
		}
		falls = append(falls, fall{
			day:  d,
			best: b,
			last: l,
		})
	}
	slices.SortFunc(falls, func(a, b fall) int { return strings.Compare(a.String(), b.String()) })
	return falls
}
