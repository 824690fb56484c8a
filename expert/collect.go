package expert

import (
	"encoding/binary"
	"fmt"
	"math"

	"github.com/foxtailstack/foxtailstack"
	"github.com/zeebo/xxh3"
)

const (
	// fanIn is the number of ranks that report to one rank.
	fanIn = 4
	// codeScale is the number of codes of a counter for a factor of two, which
	// keeps the error of a counter below 0.04%.
	codeScale = 1024
	// codeSize is the size of a counter in bytes.
	codeSize = 2
)

// Report carries the loads of a rank and of those that report to it.
type Report struct {
	// Root is the rank at the top of the tree.
	Root foxtailstack.Rank `cbor:"1,keyasint"`
	// Ranks are the ranks whose loads are summed up.
	Ranks Ranks `cbor:"2,keyasint"`
	// Experts is the number of experts of a layer.
	Experts int `cbor:"3,keyasint"`
	// Codes are the tokens of each expert, layer by layer, on a logarithmic scale
	// in two bytes each.
	Codes []byte `cbor:"4,keyasint"`
}

// Collector sums the loads of a group up a tree. It is not safe for concurrent
// use.
type Collector struct {
	rank, size foxtailstack.Rank
	// reports are the latest ones of the ranks below, since the last Flush.
	reports map[foxtailstack.Rank]Report
}

// NewCollector returns the collector of a rank, which must be below size.
func NewCollector(rank foxtailstack.Rank, size int) *Collector {
	return &Collector{
		rank:    rank,
		size:    foxtailstack.Rank(size),
		reports: map[foxtailstack.Rank]Report{},
	}
}

// Receive takes the report of a rank below and replaces its former one. It
// returns ErrLoad if the report is malformed.
func (c *Collector) Receive(from foxtailstack.Rank, r Report) error {
	if r.Experts < 1 || len(r.Codes)%(codeSize*r.Experts) != 0 {
		return fmt.Errorf("%w: report of %d bytes for %d experts", ErrLoad, len(r.Codes), r.Experts)
	}
	c.reports[from] = r
	return nil
}

// Flush adds the tokens that went to each expert of each layer from this rank,
// and returns the sums for the rank above, parent. At the root, parent is the
// rank itself. Reports for another root or of another shape are left out.
func (c *Collector) Flush(root foxtailstack.Rank, tokens [][]float64) (parent foxtailstack.Rank, sums [][]float64, ranks Ranks) {
	ranks.Add(c.rank)
	sums = make([][]float64, len(tokens))
	for l := range tokens {
		sums[l] = append([]float64(nil), tokens[l]...)
	}
	for from, r := range c.reports {
		if r.Root == root && from != c.rank && parentOf(from, root, c.size) == c.rank && r.addTo(sums) {
			ranks = ranks.Union(r.Ranks)
		}
	}
	clear(c.reports)
	return parentOf(c.rank, root, c.size), sums, ranks
}

// NewReport returns the report of sums. All layers must have the same experts.
func NewReport(root foxtailstack.Rank, sums [][]float64, ranks Ranks) Report {
	r := Report{
		Root:  root,
		Ranks: ranks,
	}
	for _, layer := range sums {
		r.Experts = len(layer)
		for _, n := range layer {
			code := math.Round(math.Log2(1+n) * codeScale)
			r.Codes = binary.BigEndian.AppendUint16(r.Codes, uint16(min(code, math.MaxUint16)))
		}
	}
	return r
}

// addTo adds the loads of r to sums and reports whether they fit.
func (r Report) addTo(sums [][]float64) bool {
	if len(sums) == 0 || len(sums[0]) != r.Experts || len(r.Codes) != codeSize*r.Experts*len(sums) {
		return false
	}
	for i := 0; i < len(r.Codes); i += codeSize {
		code := binary.BigEndian.Uint16(r.Codes[i:])
		n := i / codeSize
		sums[n/r.Experts][n%r.Experts] += math.Exp2(float64(code)/codeScale) - 1
	}
	return true
}

// parentOf returns the rank that a rank reports to, in a tree below root.
func parentOf(rank, root, size foxtailstack.Rank) foxtailstack.Rank {
	position := (rank - root + size) % size
	if position == 0 {
		return rank
	}
	return ((position-1)/fanIn + root) % size
}

// Duty returns the rank among those present that plans for a group, by
// rendezvous hashing (Thaler and Ravishankar, 1998). It is a hint: two ranks
// that see others present may both plan, and the epochs in the table decide. It
// is -1 if none is present.
func Duty(group string, present Ranks) foxtailstack.Rank {
	best, highest := foxtailstack.Rank(-1), uint64(0)
	for r := range foxtailstack.Rank(MaxRanks) {
		if !present.Has(r) {
			continue
		}
		weight := xxh3.HashString(fmt.Sprintf("%s/%d", group, r))
		if best < 0 || weight > highest {
			best, highest = r, weight
		}
	}
	return best
}
