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
	// GracePeriod is the time for requests in progress after a request to stop.
	GracePeriod Duration
	Listen      Listen
	Platform    Platform
	TLS         TLS
	Upstream    Upstream
	Operators   Operators
	Log         Log
}

// Operators holds who may use the resource API before there is any team.
type Operators struct {
	// TokenHash is the SHA-256 hash of an admin's token in hexadecimal.
	TokenHash string
}

// Listen holds the addresses that a process listens on.
type Listen struct {
	// Callers is for callers and operators, by TCP. Entries only.
	Callers foxtailstack.Address
	// Peers is for other processes of the system, by UDP.
	Peers foxtailstack.Address
	// Status is for health checks and metrics, by TCP.
	Status foxtailstack.Address
}

// Platform locates the services of the platform.
type Platform struct {
	Table   string
	Objects string
	List    string
	Name    string
	Bucket  string
}

// TLS names the files of the certificate of a process.
type TLS struct {
	Cert      string
	Key       string
	Authority string
	// Plaintext serves callers and operators without TLS, on loopback only.
	Plaintext bool
}

// Upstream describes the upstream beside a sidecar.
type Upstream struct {
	// Name is fleet/service/upstream.
	Name string
	// Engine is the URL of the engine or plain service.
	Engine string
	// Fencing tells that the engine refuses old fencing numbers.
	Fencing bool
	// Slots is how many calls run at once until the configuration says otherwise.
	Slots int
}

// Log holds the settings of the log.
type Log struct {
	Level string
}

// Duration is a time.Duration that TOML writes as text, such as "30s".
type Duration time.Duration
