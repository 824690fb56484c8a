package keys

// NewLoopback returns the settings of processes on loopback under an authority
// that exists only for them.
func NewLoopback() (Config, error) {
	authority, err := NewAuthority()
	if err != nil {
		return Config{}, err
	}
	pair, err := authority.Issue("loopback", "127.0.0.1")
	if err != nil {
		return Config{}, err
	}
	return NewConfig(pair, authority.Cert)
}
