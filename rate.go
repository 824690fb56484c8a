package foxtailstack

// RequestRate is a number of requests a second. As a limit zero means that there is none.
type RequestRate float64
