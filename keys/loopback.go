package keys

// NewLoopback returns TLS configurations for processes that connect over 127.0.0.1.
// Their certificate is signed by a new authority that nothing else uses.
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
