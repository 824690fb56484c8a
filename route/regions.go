package route

import (
	"slices"

	"github.com/foxtailstack/foxtailstack"
)

// Regions is a list of regions in which requests may be processed. An empty list allows
// all.
type Regions []foxtailstack.Region

// Allow reports whether requests may be processed in a region. One that is not known is
// allowed only by an empty list.
func (r Regions) Allow(region foxtailstack.Region) bool {
	return len(r) == 0 || slices.Contains(r, region)
}
