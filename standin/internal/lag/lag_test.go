package lag

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestValueBecomesVisibleAfterTheDelay(t *testing.T) {
	now := time.Unix(0, 0)
	v := New("first", time.Second, func() time.Time { return now })
	assert.Equal(t, v.Get(), "first")
	v.Set("second")
	now = now.Add(500 * time.Millisecond)
	v.Set("third")
	assert.Equal(t, v.Get(), "first")
	now = now.Add(500 * time.Millisecond)
	assert.Equal(t, v.Get(), "second")
	now = now.Add(time.Hour)
	assert.Equal(t, v.Get(), "third")
}
