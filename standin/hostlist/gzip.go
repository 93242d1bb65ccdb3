package hostlist

import (
	"compress/gzip"
	"net/http"
	"strings"
)

// withGzip compresses the body of a response with status 200 if the reader accepts gzip.
// Entity tags must be weak because the compressed and the plain body share them.
func withGzip(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Vary", "Accept-Encoding")
		if !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
			next(w, r)
			return
		}
		response := &gzipResponse{ResponseWriter: w}
		next(response, r)
		response.close()
	}
}

// gzipResponse is a response writer that compresses the body once status 200 is written.
type gzipResponse struct {
	http.ResponseWriter
	body *gzip.Writer
}

// WriteHeader implements http.ResponseWriter.
func (z *gzipResponse) WriteHeader(status int) {
	if status == http.StatusOK {
		z.Header().Set("Content-Encoding", "gzip")
		z.body = gzip.NewWriter(z.ResponseWriter)
	}
	z.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (z *gzipResponse) Write(p []byte) (int, error) {
	if z.body == nil {
		return z.ResponseWriter.Write(p)
	}
	return z.body.Write(p)
}

// close ends the compressed body. An error means that the reader has disconnected.
func (z *gzipResponse) close() {
	if z.body != nil {
		_ = z.body.Close() // the handler has already written the whole body
	}
}
