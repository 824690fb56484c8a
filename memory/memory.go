// Package memory keeps account of the bytes that a process holds for its callers, so that
// their sum stays within a bound.
package memory

import (
	"sync/atomic"

	"github.com/foxtailstack/foxtailstack"
)

// Account counts the bytes that a process holds. The zero value has no bound. An Account
// must not be copied after first use.
type Account struct {
	// Bound is the maximum number of bytes held; zero means that there is none.
	Bound foxtailstack.Bytes

	// parent counts the same bytes too; nil means that none does.
	parent *Account
	held   atomic.Int64
}

// Held returns the number of bytes held.
func (a *Account) Held() foxtailstack.Bytes {
	return foxtailstack.Bytes(a.held.Load())
}

// take adds n bytes unless they would pass the bound of the account or of its parent.
func (a *Account) take(n int64) bool {
	held := a.held.Add(n)
	if a.Bound > 0 && held > int64(a.Bound) || a.parent != nil && !a.parent.take(n) {
		a.held.Add(-n)
		return false
	}
	return true
}

// give takes n bytes away.
func (a *Account) give(n int64) {
	a.held.Add(-n)
	if a.parent != nil {
		a.parent.give(n)
	}
}

// Holding is the part of an Account that one request holds. Account must be set before use,
// but for those of Shares. A Holding is not safe for concurrent use.
type Holding struct {
	Account *Account

	held, peak int64
	// leave ends the Holding of a party; nil if it is not one.
	leave func()
}

// Take adds n bytes. It returns false, and adds none, if the account would pass its bound.
func (h *Holding) Take(n int) bool {
	if !h.Account.take(int64(n)) {
		return false
	}
	h.held += int64(n)
	h.peak = max(h.peak, h.held)
	return true
}

// Give takes n bytes away that are no longer held.
func (h *Holding) Give(n int) {
	h.Account.give(int64(n))
	h.held -= int64(n)
}

// Release takes all bytes away. A Holding of Shares ends with it and must not be used any
// further.
func (h *Holding) Release() {
	h.Give(int(h.held))
	if h.leave != nil {
		h.leave()
		h.leave = nil
	}
}

// Peak returns the largest number of bytes that were held.
func (h *Holding) Peak() foxtailstack.Bytes {
	return foxtailstack.Bytes(h.peak)
}
