package worker

import (
	"io"
	"net/http"
)

// removeMark makes a response end with its connection: it has neither a length nor chunks, so its end and a
// cut look the same. It must be called before the header is sent.
func removeMark(out http.ResponseWriter) { out.Header().Set("Transfer-Encoding", "identity") }

// sendHalf sends the first half of the body of a response whose end is not marked.
func sendHalf(out http.ResponseWriter, body string) {
	removeMark(out)
	_, _ = io.WriteString(out, body[:len(body)/2]) // a caller that has disconnected needs no response
}

// eventNumbers returns the numbers of the events of a stream, in the order in which they are sent. With
// repeat, the event in the middle comes twice; with restart, the stream begins again behind it.
func eventNumbers(first, last int, repeat, restart bool) []int {
	middle := (first + last) / 2
	var numbers []int
	for number := first; number <= last; number++ {
		numbers = append(numbers, number)
		if number != middle {
			continue
		}
		if repeat {
			numbers = append(numbers, number)
		}
		if restart {
			numbers = append(numbers, eventNumbers(first, middle, false, false)...)
		}
	}
	return numbers
}
