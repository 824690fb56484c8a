// Package watch keeps a local copy of the operators' configuration and of the
// list of upstreams, and follows their changes in the platform's store.
//
// # Scope
//
// A Follower reads one table of the store, long-polls for its changes and reads
// the whole table again if the store no longer has the changes since its version.
// It retries with backoff during an outage. A View decodes the rows and holds the
// newest configuration and fleet for the goroutines that serve requests. It also
// records when the configuration was last confirmed to be current.
//
// A View never replaces its configuration by one with an older version. This
// holds for the lifetime of the process; a new process starts with an empty View.
package watch
