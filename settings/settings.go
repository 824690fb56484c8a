package settings

import (
	"fmt"
	"os"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/foxtailstack/foxtailstack"
)

// Settings are the settings of one process.
type Settings struct {
	// Name is the name of the instance, unique in the system.
	Name   foxtailstack.InstanceName `toml:"name"`
	Centre foxtailstack.DataCentre   `toml:"centre"`
	Region foxtailstack.Region       `toml:"region"`
	// Grace is the time for requests in progress after a request to stop.
	Grace     Duration  `toml:"grace"`
	Listen    Listen    `toml:"listen"`
	Platform  Platform  `toml:"platform"`
	TLS       TLS       `toml:"tls"`
	Upstream  Upstream  `toml:"upstream"`
	Operators Operators `toml:"operators"`
	Log       Log       `toml:"log"`
}

// Operators holds who may use the resource API before there is any team.
type Operators struct {
	// Hash is the SHA-256 hash of an admin's token in hexadecimal.
	Hash string `toml:"hash"`
}

// Listen holds the addresses that a process listens on.
type Listen struct {
	// Callers is for callers and operators, by TCP. Entries only.
	Callers foxtailstack.Address `toml:"callers"`
	// Peers is for other processes of the system, by UDP.
	Peers foxtailstack.Address `toml:"peers"`
	// Status is for health checks and metrics, by TCP.
	Status foxtailstack.Address `toml:"status"`
}

// Platform locates the services of the platform.
type Platform struct {
	Table   string `toml:"table"`
	Objects string `toml:"objects"`
	List    string `toml:"list"`
	Name    string `toml:"name"`
	Bucket  string `toml:"bucket"`
	Region  string `toml:"region"`
	Access  string `toml:"access"`
	Secret  string `toml:"secret"`
}

// TLS names the files of the certificate of a process.
type TLS struct {
	Cert      string `toml:"cert"`
	Key       string `toml:"key"`
	Authority string `toml:"authority"`
	// Plain serves callers and operators without TLS, on loopback only.
	Plain bool `toml:"plain"`
}

// Upstream describes the upstream beside a sidecar.
type Upstream struct {
	// Name is fleet/service/upstream.
	Name string `toml:"name"`
	// Engine is the URL of the engine or plain service.
	Engine string `toml:"engine"`
	// Fencing tells that the engine refuses old fencing numbers.
	Fencing bool `toml:"fencing"`
	// Slots is how many calls run at once until the configuration says otherwise.
	Slots int `toml:"slots"`
}

// Log holds the settings of the log.
type Log struct {
	Level string `toml:"level"`
}

// Duration is a time.Duration that TOML writes as text, such as "30s".
type Duration time.Duration

// UnmarshalText sets d from its text.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("duration %q", text)
	}
	*d = Duration(parsed)
	return nil
}

// Load reads the settings in a file.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	var s Settings
	meta, err := toml.Decode(string(data), &s)
	if err != nil {
		return Settings{}, fmt.Errorf("%s: %w", path, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return Settings{}, fmt.Errorf("%s: unknown key %s", path, unknown[0])
	}
	return s, nil
}
