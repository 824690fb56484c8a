package expert

import (
	"encoding/binary"
	"fmt"
	"math"

	"github.com/foxtailstack/foxtailstack"
	"github.com/zeebo/xxh3"
)

const (
	// fanIn is the number of ranks that report to one rank in the collection
	// tree.
	fanIn = 4
	// codeScale is the number of codes for each doubling of a load, which keeps
	// the error of a load below 0.04%.
	codeScale = 1024
	// codeSize is the size of an encoded load in bytes.
	codeSize = 2
)

// LoadReport holds the expert loads summed over a rank and the ranks that report
// to it.
type LoadReport struct {
	// Root is the rank at the root of the collection tree.
	Root foxtailstack.Rank `cbor:"1,keyasint"`
	// Ranks are the ranks whose loads are included.
	Ranks RankSet `cbor:"2,keyasint"`
	// ExpertsPerLayer is the number of experts of each layer.
	ExpertsPerLayer int `cbor:"3,keyasint"`
	// Codes are the loads of all experts in tokens per pass, layer by layer, on
	// a logarithmic scale and big-endian in two bytes each.
	Codes []byte `cbor:"4,keyasint"`
}

// Collector sums the expert loads of a group along a tree of its ranks. It is
// not safe for concurrent use.
type Collector struct {
	rank, size foxtailstack.Rank
	// reports are the latest reports of the child ranks since the last Flush.
	reports map[foxtailstack.Rank]LoadReport
}

// NewCollector returns the collector of a rank in a group of size ranks. The
// rank must be less than size.
func NewCollector(rank foxtailstack.Rank, size int) *Collector {
	return &Collector{
		rank:    rank,
		size:    foxtailstack.Rank(size),
		reports: map[foxtailstack.Rank]LoadReport{},
	}
}

// Receive stores the report of a child rank in place of its earlier one. It
// returns ErrLoad if the report is malformed.
func (c *Collector) Receive(from foxtailstack.Rank, r LoadReport) error {
	if r.ExpertsPerLayer < 1 || len(r.Codes)%(codeSize*r.ExpertsPerLayer) != 0 {
		return fmt.Errorf("%w: report of %d bytes for %d experts from rank %d", ErrLoad, len(r.Codes), r.ExpertsPerLayer, from)
	}
	c.reports[from] = r
	return nil
}

// Flush sums tokens, the load of each expert of each layer at this rank, and the
// reports received since the last call. It returns the rank to send the sums to
// and the ranks that they include. At the root, parent is the rank itself.
// Reports with another root or another number of layers or experts are ignored,
// and so are those of ranks that are not children of this one.
func (c *Collector) Flush(root foxtailstack.Rank, tokens [][]float64) (parent foxtailstack.Rank, sums [][]float64, ranks RankSet) {
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

// NewLoadReport returns the report of sums. All layers must have the same number
// of experts.
func NewLoadReport(root foxtailstack.Rank, sums [][]float64, ranks RankSet) LoadReport {
	r := LoadReport{
		Root:  root,
		Ranks: ranks,
	}
	for _, layer := range sums {
		r.ExpertsPerLayer = len(layer)
		for _, n := range layer {
			code := math.Round(math.Log2(1+n) * codeScale)
			r.Codes = binary.BigEndian.AppendUint16(r.Codes, uint16(min(code, math.MaxUint16)))
		}
	}
	return r
}

// addTo adds the loads of r to sums and returns true, or returns false if the
// numbers of layers or experts differ.
func (r LoadReport) addTo(sums [][]float64) bool {
	if len(sums) == 0 || len(sums[0]) != r.ExpertsPerLayer || len(r.Codes) != codeSize*r.ExpertsPerLayer*len(sums) {
		return false
	}
	for i := 0; i < len(r.Codes); i += codeSize {
		code := binary.BigEndian.Uint16(r.Codes[i:])
		n := i / codeSize
		sums[n/r.ExpertsPerLayer][n%r.ExpertsPerLayer] += math.Exp2(float64(code)/codeScale) - 1
	}
	return true
}

// parentOf returns the rank that a rank reports to in the collection tree below
// root; for root, it returns root.
func parentOf(rank, root, size foxtailstack.Rank) foxtailstack.Rank {
	position := (rank - root + size) % size
	if position == 0 {
		return rank
	}
	return ((position-1)/fanIn + root) % size
}

// PreferredPlanner returns the rank among those present that should plan for a
// group, chosen by rendezvous hashing (Thaler and Ravishankar, 1998). It returns
// -1 if no rank is present. The result is a hint only: two ranks with different
// views of who is present may both plan, and the conditional write of an epoch
// in the table decides between them.
func PreferredPlanner(group string, present RankSet) foxtailstack.Rank {
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
