package memstore_test

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/internal/memstore"
)

// A row with an end is there until then, and its key is free after it.
func TestStoreExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var store memstore.Store
		key := foxtailstack.Key{
			Partition: "p",
			Sort:      "s",
		}
		write := foxtailstack.Write{
			Key:     key,
			Value:   []byte("v"),
			Expires: time.Now().Add(time.Second),
		}
		err := store.Commit(t.Context(), write)
		if err != nil {
			t.Fatal(err)
		}
		_, err = store.Get(t.Context(), key)
		if err != nil {
			t.Errorf("before its end: %v", err)
		}
		time.Sleep(1100 * time.Millisecond)
		_, err = store.Get(t.Context(), key)
		if !errors.Is(err, foxtailstack.ErrNotFound) {
			t.Errorf("after its end: %v, want %v", err, foxtailstack.ErrNotFound)
		}
		err = store.Commit(t.Context(), write)
		if err != nil {
			t.Errorf("anew: %v", err)
		}
	})
}
