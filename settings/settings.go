package settings

import (
	"time"

	"github.com/foxtailstack/foxtailstack"
)

// Settings are the settings of one process.
type Settings struct {
	// Name is the name of the instance, unique in the system.
	Name   foxtailstack.InstanceName
	Centre foxtailstack.DataCentre
	Region foxtailstack.Region
	// GracePeriod is the time that requests in progress have to finish when the
	// process stops. Zero means the default.
	GracePeriod Duration
	Listen      Listen
	Platform    Platform
	TLS         TLS
	Upstream    Upstream
	Operators   Operators
	Log         Log
}

// Operators grants access to the resource API before any team exists.
type Operators struct {
	// TokenHash is the SHA-256 hash of an admin's token in hexadecimal. If it is empty,
	// no token gives this access; the API is then open to all on a plaintext loopback
	// listener and to operators of teams only elsewhere.
	TokenHash string
}

// Listen holds the addresses that a process listens on.
type Listen struct {
	// Callers is the TCP address for callers and operators. Only entries use it.
	Callers foxtailstack.Address
	// Peers is the UDP address for other processes of the system.
	Peers foxtailstack.Address
	// Status is the TCP address for health checks and metrics.
	Status foxtailstack.Address
}

// Platform locates the services of the platform.
type Platform struct {
	// Table is the URL of the store that holds the table.
	Table string
	// Objects is the URL of the object store. It may be empty.
	Objects string
	// List is the URL of the list of instances. Empty means that there is none.
	List string
	// Name is the name of the table in the store.
	Name string
	// Bucket is the bucket in the object store. It may be empty.
	Bucket string
}

// TLS holds the file names of the certificate and key of a process and of the
// certificate authority.
type TLS struct {
	Cert      string
	Key       string
	Authority string
	// Plaintext serves callers and operators without TLS. It is allowed on a loopback
	// address only.
	Plaintext bool
}

// Upstream describes the upstream that a sidecar runs beside and forwards calls to.
type Upstream struct {
	// Name has the form fleet/service/upstream.
	Name string
	// Engine is the URL of the inference engine, or of the plain service if the
	// upstream is not an engine.
	Engine string
	// Fencing states that the engine rejects outdated fencing tokens. It is not
	// checked against the engine.
	Fencing bool
	// Slots is the number of calls that run at once until the configuration sets
	// another.
	Slots int
}

// Log holds the settings of the log.
type Log struct {
	// Level is the lowest level that is logged: debug, info, warn or error. Empty
	// means info.
	Level string
}

// Duration is a time.Duration that is written as text in TOML, such as "30s".
type Duration time.Duration
