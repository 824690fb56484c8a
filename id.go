package foxtailstack

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
)

// idSize is the length of a random identifier in bytes.
const idSize = 16

// FleetName names a fleet, a set of services with the policies for their use.
type FleetName string

// ServiceName names a service within a fleet.
type ServiceName string

// UpstreamName names an upstream within a service.
type UpstreamName string

// PolicyName names a policy within a fleet.
type PolicyName string

// TeamName names a team that shares the system.
type TeamName string

// DataCentre names a data centre.
type DataCentre string

// Region names a region, which holds one or more data centres.
type Region string

// InstanceName names an instance and the process of the system that runs on it.
type InstanceName string

// Address is a host and port in the form that net.Dial accepts.
type Address string

// Tokens counts model tokens.
type Tokens int64

// Bytes counts bytes.
type Bytes int64

// Revision numbers the states of the configuration that package fleet keeps, starting
// at one. The configuration of package route is another one with its own
// route.Version.
type Revision uint64

// FencingToken orders the successive holders of a resource, such as a booking key; a
// higher one wins.
type FencingToken uint64

// AttemptID identifies one attempt of one request on one upstream.
type AttemptID [idSize]byte

// Incarnation identifies one run of a process. A restarted process has another.
type Incarnation [idSize]byte

// ChangeID identifies one change of the configuration.
type ChangeID [idSize]byte

// NewAttemptID returns a random AttemptID.
func NewAttemptID() AttemptID {
	return AttemptID(randomID())
}

// NewIncarnation returns a random Incarnation.
func NewIncarnation() Incarnation {
	return Incarnation(randomID())
}

// NewChangeID returns a random ChangeID.
func NewChangeID() ChangeID {
	return ChangeID(randomID())
}

// String returns id in hexadecimal.
func (id AttemptID) String() string {
	return hex.EncodeToString(id[:])
}

// String returns id in hexadecimal.
func (id Incarnation) String() string {
	return hex.EncodeToString(id[:])
}

// String returns id in hexadecimal.
func (id ChangeID) String() string {
	return hex.EncodeToString(id[:])
}

// ParseAttemptID parses an AttemptID in hexadecimal.
func ParseAttemptID(s string) (AttemptID, error) {
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != idSize {
		return AttemptID{}, fmt.Errorf("attempt id %q is not %d bytes in hexadecimal", s, idSize)
	}
	return AttemptID(b), nil
}

// randomID returns a random identifier, long enough to be unique among all
// processes.
func randomID() [idSize]byte {
	var id [idSize]byte
	_, _ = rand.Read(id[:]) // crypto/rand.Read never returns an error
	return id
}
