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

// key describes one key of the settings file.
type key struct {
	// name is the dotted name of the key, including its table.
	name string
	// requiredBy lists the roles for which the key must be present.
	requiredBy []foxtailstack.Role
	// set stores a decoded TOML value in the settings and returns an error if it is
	// invalid. An invalid value may be stored all the same.
	set func(s *Settings, value any) error
}

var (
	allRoles    = []foxtailstack.Role{foxtailstack.RoleEntry, foxtailstack.RoleSidecar}
	entryRole   = []foxtailstack.Role{foxtailstack.RoleEntry}
	sidecarRole = []foxtailstack.Role{foxtailstack.RoleSidecar}
)

// schema lists all keys that a settings file may contain.
var schema = []key{
	{
		name:       "name",
		requiredBy: allRoles,
		set:        textSetter(func(s *Settings) *foxtailstack.InstanceName { return &s.Name }, isName),
	},
	{
		name:       "centre",
		requiredBy: allRoles,
		set:        textSetter(func(s *Settings) *foxtailstack.DataCentre { return &s.Centre }, isName),
	},
	{
		name:       "region",
		requiredBy: allRoles,
		set:        textSetter(func(s *Settings) *foxtailstack.Region { return &s.Region }, isName),
	},
	{
		name: "grace",
		set:  durationSetter(func(s *Settings) *Duration { return &s.GracePeriod }),
	},
	{
		name:       "listen.callers",
		requiredBy: entryRole,
		set:        textSetter(func(s *Settings) *foxtailstack.Address { return &s.Listen.Callers }, isAddress),
	},
	{
		name:       "listen.peers",
		requiredBy: allRoles,
		set:        textSetter(func(s *Settings) *foxtailstack.Address { return &s.Listen.Peers }, isAddress),
	},
	{
		name: "listen.status",
		set:  textSetter(func(s *Settings) *foxtailstack.Address { return &s.Listen.Status }, isAddress),
	},
	{
		name:       "platform.table",
		requiredBy: allRoles,
		set:        textSetter(func(s *Settings) *string { return &s.Platform.Table }, isURL),
	},
	{
		name: "platform.objects",
		set:  textSetter(func(s *Settings) *string { return &s.Platform.Objects }, isURL),
	},
	{
		name: "platform.list",
		set:  textSetter(func(s *Settings) *string { return &s.Platform.List }, isURL),
	},
	{
		name:       "platform.name",
		requiredBy: allRoles,
		set:        textSetter(func(s *Settings) *string { return &s.Platform.Name }, isNotEmpty),
	},
	{
		name: "platform.bucket",
		set:  textSetter(func(s *Settings) *string { return &s.Platform.Bucket }, isNotEmpty),
	},
	{
		name:       "tls.cert",
		requiredBy: allRoles,
		set:        textSetter(func(s *Settings) *string { return &s.TLS.Cert }, isNotEmpty),
	},
	{
		name:       "tls.key",
		requiredBy: allRoles,
		set:        textSetter(func(s *Settings) *string { return &s.TLS.Key }, isNotEmpty),
	},
	{
		name:       "tls.authority",
		requiredBy: allRoles,
		set:        textSetter(func(s *Settings) *string { return &s.TLS.Authority }, isNotEmpty),
	},
	{
		name: "tls.plain",
		set:  booleanSetter(func(s *Settings) *bool { return &s.TLS.Plaintext }),
	},
	{
		name:       "upstream.name",
		requiredBy: sidecarRole,
		set:        textSetter(func(s *Settings) *string { return &s.Upstream.Name }, isUpstreamName),
	},
	{
		name:       "upstream.engine",
		requiredBy: sidecarRole,
		set:        textSetter(func(s *Settings) *string { return &s.Upstream.Engine }, isURL),
	},
	{
		name: "upstream.fencing",
		set:  booleanSetter(func(s *Settings) *bool { return &s.Upstream.Fencing }),
	},
	{
		name:       "upstream.slots",
		requiredBy: sidecarRole,
		set:        positiveSetter(func(s *Settings) *int { return &s.Upstream.Slots }),
	},
	{
		name: "operators.hash",
		set:  textSetter(func(s *Settings) *string { return &s.Operators.TokenHash }, isHash),
	},
	{
		name: "log.level",
		set:  textSetter(func(s *Settings) *string { return &s.Log.Level }, isLevel),
	},
}

// namePattern matches the name of an instance, data centre or region.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)

// logLevels are the accepted values of log.level.
var logLevels = []string{"debug", "info", "warn", "error"}

// upstreamNameParts is the number of parts in fleet/service/upstream.
const upstreamNameParts = 3

// textSetter returns the setter of a key whose value is text that satisfies check.
func textSetter[T ~string](field func(*Settings) *T, check func(string) error) func(*Settings, any) error {
	return func(s *Settings, value any) error {
		given, ok := value.(string)
		if !ok {
			return fmt.Errorf("must be text, is %s", typeName(value))
		}
		*field(s) = T(given)
		return check(given)
	}
}

// durationSetter returns the setter of a key whose value is a positive duration.
func durationSetter(field func(*Settings) *Duration) func(*Settings, any) error {
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

// booleanSetter returns the setter of a key whose value is true or false.
func booleanSetter(field func(*Settings) *bool) func(*Settings, any) error {
	return func(s *Settings, value any) error {
		given, ok := value.(bool)
		if !ok {
			return fmt.Errorf("must be true or false, is %s", typeName(value))
		}
		*field(s) = given
		return nil
	}
}

// positiveSetter returns the setter of a key whose value is a positive integer.
func positiveSetter(field func(*Settings) *int) func(*Settings, any) error {
	return func(s *Settings, value any) error {
		given, ok := value.(int64)
		if !ok || given < 1 {
			return fmt.Errorf("must be a positive whole number, is %v", value)
		}
		*field(s) = int(given)
		return nil
	}
}

// typeName returns the description of a value's TOML type for use in a problem.
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

// isNotEmpty returns an error if s is empty.
func isNotEmpty(s string) error {
	if s == "" {
		return errors.New("must not be empty")
	}
	return nil
}

// isName returns an error unless s is a valid name of an instance, data centre or
// region.
func isName(s string) error {
	if !namePattern.MatchString(s) {
		return fmt.Errorf("must be lower-case letters, digits and hyphens, is %q", s)
	}
	return nil
}

// isAddress returns an error unless s is an IP address with a port.
func isAddress(s string) error {
	if _, err := netip.ParseAddrPort(s); err != nil {
		return fmt.Errorf("must be an IP number and a port such as 127.0.0.1:8443, is %q", s)
	}
	return nil
}

// isURL returns an error unless s is an HTTP or HTTPS URL with a host and, if it has a
// port, one from 1 to 65535.
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

// isUpstreamName returns an error unless s has the form fleet/service/upstream in
// lower-case letters, digits and hyphens. Only the first and the last character of s
// must be a letter or digit; the ends of the inner parts are not checked, so that the
// service may be empty.
func isUpstreamName(s string) error {
	parts := strings.Split(s, "/")
	if len(parts) != upstreamNameParts || !namePattern.MatchString(strings.Join(parts, "-")) {
		return fmt.Errorf("must be fleet/service/upstream, is %q", s)
	}
	return nil
}

// isHash returns an error unless s is a SHA-256 hash in hexadecimal.
func isHash(s string) error {
	if b, err := hex.DecodeString(s); err != nil || len(b) != sha256.Size {
		return fmt.Errorf("must be %d bytes in hexadecimal, is %q", sha256.Size, s)
	}
	return nil
}

// isLevel returns an error unless s is one of logLevels.
func isLevel(s string) error {
	if !slices.Contains(logLevels, s) {
		return fmt.Errorf("must be one of %s, is %q", strings.Join(logLevels, ", "), s)
	}
	return nil
}

// loopback reports whether the host of address is a loopback IP address.
func loopback(address foxtailstack.Address) bool {
	host, _, err := net.SplitHostPort(string(address))
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}
