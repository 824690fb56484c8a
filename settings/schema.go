package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/foxtailstack/foxtailstack"
)

// key is one key of the settings.
type key struct {
	// name is the name of the key with those of its tables.
	name string
	// needed lists the roles that cannot do without the key.
	needed []foxtailstack.Role
	// set checks a value and puts it into the settings.
	set func(s *Settings, value any) error
}

var (
	everyRole   = []foxtailstack.Role{foxtailstack.RoleEntry, foxtailstack.RoleSidecar}
	entryRole   = []foxtailstack.Role{foxtailstack.RoleEntry}
	sidecarRole = []foxtailstack.Role{foxtailstack.RoleSidecar}
)

// schema holds all keys.
var schema = []key{
	{
		name:   "name",
		needed: everyRole,
		set:    text(func(s *Settings) *foxtailstack.InstanceName { return &s.Name }, isName),
	},
	{
		name:   "centre",
		needed: everyRole,
		set:    text(func(s *Settings) *foxtailstack.DataCentre { return &s.Centre }, isName),
	},
	{
		name:   "region",
		needed: everyRole,
		set:    text(func(s *Settings) *foxtailstack.Region { return &s.Region }, isName),
	},
	{
		name: "grace",
		set:  duration(func(s *Settings) *Duration { return &s.GracePeriod }),
	},
	{
		name:   "listen.callers",
		needed: entryRole,
		set:    text(func(s *Settings) *foxtailstack.Address { return &s.Listen.Callers }, isAddress),
	},
	{
		name:   "listen.peers",
		needed: everyRole,
		set:    text(func(s *Settings) *foxtailstack.Address { return &s.Listen.Peers }, isAddress),
	},
	{
		name: "listen.status",
		set:  text(func(s *Settings) *foxtailstack.Address { return &s.Listen.Status }, isAddress),
	},
	{
		name:   "platform.table",
		needed: everyRole,
		set:    text(func(s *Settings) *string { return &s.Platform.Table }, isURL),
	},
	{
		name: "platform.objects",
		set:  text(func(s *Settings) *string { return &s.Platform.Objects }, isURL),
	},
	{
		name: "platform.list",
		set:  text(func(s *Settings) *string { return &s.Platform.List }, isURL),
	},
	{
		name:   "platform.name",
		needed: everyRole,
		set:    text(func(s *Settings) *string { return &s.Platform.Name }, isGiven),
	},
	{
		name: "platform.bucket",
		set:  text(func(s *Settings) *string { return &s.Platform.Bucket }, isGiven),
	},
	{
		name:   "tls.cert",
		needed: everyRole,
		set:    text(func(s *Settings) *string { return &s.TLS.Cert }, isGiven),
	},
	{
		name:   "tls.key",
		needed: everyRole,
		set:    text(func(s *Settings) *string { return &s.TLS.Key }, isGiven),
	},
	{
		name:   "tls.authority",
		needed: everyRole,
		set:    text(func(s *Settings) *string { return &s.TLS.Authority }, isGiven),
	},
	{
		name: "tls.plain",
		set:  boolean(func(s *Settings) *bool { return &s.TLS.Plaintext }),
	},
	{
		name:   "upstream.name",
		needed: sidecarRole,
		set:    text(func(s *Settings) *string { return &s.Upstream.Name }, isUpstream),
	},
	{
		name:   "upstream.engine",
		needed: sidecarRole,
		set:    text(func(s *Settings) *string { return &s.Upstream.Engine }, isURL),
	},
	{
		name: "upstream.fencing",
		set:  boolean(func(s *Settings) *bool { return &s.Upstream.Fencing }),
	},
	{
		name:   "upstream.slots",
		needed: sidecarRole,
		set:    positive(func(s *Settings) *int { return &s.Upstream.Slots }),
	},
	{
		name: "operators.hash",
		set:  text(func(s *Settings) *string { return &s.Operators.TokenHash }, isHash),
	},
	{
		name: "log.level",
		set:  text(func(s *Settings) *string { return &s.Log.Level }, isLevel),
	},
}

// namePattern matches a name of an instance, data centre or region.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)

// levels are the levels of the log.
var levels = []string{"debug", "info", "warn", "error"}

// upstreamParts is the number of parts in the name of an upstream.
const upstreamParts = 3

// text returns the setter of a key whose value is text.
func text[T ~string](field func(*Settings) *T, check func(string) error) func(*Settings, any) error {
	return func(s *Settings, value any) error {
		given, ok := value.(string)
		if !ok {
			return fmt.Errorf("must be text, is %s", typeName(value))
		}
		*field(s) = T(given)
		return check(given)
	}
}

// duration returns the setter of a key whose value is a duration.
func duration(field func(*Settings) *Duration) func(*Settings, any) error {
	return func(s *Settings, value any) error {
		given, ok := value.(string)
		if !ok {
			return fmt.Errorf(`must be a duration such as "30s", is %s`, typeName(value))
		}
		d, err := time.ParseDuration(given)
		if err != nil || d <= 0 {
			return fmt.Errorf(`must be a positive duration such as "30s", is %q`, given)
		}
		*field(s) = Duration(d)
		return nil
	}
}

// boolean returns the setter of a key whose value is true or false.
func boolean(field func(*Settings) *bool) func(*Settings, any) error {
	return func(s *Settings, value any) error {
		given, ok := value.(bool)
		if !ok {
			return fmt.Errorf("must be true or false, is %s", typeName(value))
		}
		*field(s) = given
		return nil
	}
}

// positive returns the setter of a key whose value is a positive number.
func positive(field func(*Settings) *int) func(*Settings, any) error {
	return func(s *Settings, value any) error {
		given, ok := value.(int64)
		if !ok || given < 1 {
			return fmt.Errorf("must be a positive whole number, is %v", value)
		}
		*field(s) = int(given)
		return nil
	}
}

// typeName returns the name of the TOML type of a value.
func typeName(value any) string {
	switch value.(type) {
	case string:
		return "text"
	case int64, float64:
		return "a number"
	case bool:
		return "true or false"
	case []any, []map[string]any:
		return "a list"
	}
	return "a date or time"
}

// isGiven checks that text is not empty.
func isGiven(s string) error {
	if s == "" {
		return errors.New("must not be empty")
	}
	return nil
}

// isName checks the name of an instance, data centre or region.
func isName(s string) error {
	if !namePattern.MatchString(s) {
		return fmt.Errorf("must be lower-case letters, digits and hyphens, is %q", s)
	}
	return nil
}

// isAddress checks an IP number with a port.
func isAddress(s string) error {
	if _, err := netip.ParseAddrPort(s); err != nil {
		return fmt.Errorf("must be an IP number and a port such as 127.0.0.1:8443, is %q", s)
	}
	return nil
}

// isURL checks the URL of a service.
func isURL(s string) error {
	u, err := url.Parse(s)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return fmt.Errorf("must be a URL that begins with http:// or https://, is %q", s)
	}
	if port := u.Port(); port != "" {
		if n, err := strconv.Atoi(port); err != nil || n < 1 || n > 65535 {
			return fmt.Errorf("must have a port from 1 to 65535, is %q", s)
		}
	}
	return nil
}

// isUpstream checks the name of an upstream.
func isUpstream(s string) error {
	parts := strings.Split(s, "/")
	if len(parts) != upstreamParts || !namePattern.MatchString(strings.Join(parts, "-")) {
		return fmt.Errorf("must be fleet/service/upstream, is %q", s)
	}
	return nil
}

// isHash checks a SHA-256 hash in hexadecimal.
func isHash(s string) error {
	if b, err := hex.DecodeString(s); err != nil || len(b) != sha256.Size {
		return fmt.Errorf("must be %d bytes in hexadecimal, is %q", sha256.Size, s)
	}
	return nil
}

// isLevel checks the level of the log.
func isLevel(s string) error {
	if !slices.Contains(levels, s) {
		return fmt.Errorf("must be one of %s, is %q", strings.Join(levels, ", "), s)
	}
	return nil
}

// loopback reports whether address is on the loopback interface.
func loopback(address foxtailstack.Address) bool {
	host, _, err := net.SplitHostPort(string(address))
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}
