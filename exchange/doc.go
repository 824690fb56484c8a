// Package exchange sends requests to upstreams over persistent HTTP/1.1
// connections and reads their responses.
//
// # Scope
//
// A Pool keeps idle connections by upstream. A Conn sends one request at a time
// and reads the response with the same request ID; late responses to earlier
// requests on the connection are discarded. Every error tells whether the upstream
// may have started to run the request: after ErrDial nothing was sent, after any
// other error the request may have run. A Codec defines the meaning of headers.
//
// The client of net/http is not used, because it returns the first response on a
// connection whatever request it belongs to, and because it does not report
// whether a request was written.
package exchange
