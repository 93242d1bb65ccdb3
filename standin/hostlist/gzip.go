package hostlist

import (
	"compress/gzip"
	"net/http"
	"strings"
)

// gzipped compresses the body of a good answer if the reader takes that. Entity tags
// must be weak, as both forms have the same.
func gzipped(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Vary", "Accept-Encoding")
		if !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
			next(w, r)
			return
		}
		z := &zipped{ResponseWriter: w}
		next(z, r)
		z.close()
	}
}

// zipped is an answer whose body is compressed from a good status on.
type zipped struct {
	http.ResponseWriter
	body *gzip.Writer
}

// WriteHeader implements http.ResponseWriter.
func (z *zipped) WriteHeader(status int) {
	if status == http.StatusOK {
		z.Header().Set("Content-Encoding", "gzip")
		z.body = gzip.NewWriter(z.ResponseWriter)
	}
	z.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (z *zipped) Write(p []byte) (int, error) {
	if z.body == nil {
		return z.ResponseWriter.Write(p)
	}
	return z.body.Write(p)
}

// close ends the body. A failure means that the reader has gone, which it notices
// itself.
func (z *zipped) close() {
	if z.body != nil {
		_ = z.body.Close() // what was read is whole already
	}
}
