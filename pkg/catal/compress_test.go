package catal

import (
	"bytes"
	"compress/gzip"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestCompress guards against a document that changes on its way, and against one with many
// routes that stays large.
func TestCompress(t *testing.T) {
	is := is.New(t)
	doc := []byte(strings.Repeat(`{"owner":"operators","group":"group1","reads":"bounded"},`, 1000))
	packed := Compress(doc)
	is.True(len(packed) < len(doc)/10)
	got, err := Decompress(packed)
	is.NoErr(err)
	is.True(bytes.Equal(got, doc))
}

// TestDecompressRefused guards against malformed input, and input that expands without
// limit, being taken for a document.
func TestDecompressRefused(t *testing.T) {
	whole := Compress([]byte("text"))
	var large bytes.Buffer
	w := gzip.NewWriter(&large)
	_, err := w.Write(make([]byte, maxDecompressedBytes+1))
	is := is.New(t)
	is.NoErr(err)
	is.NoErr(w.Close())
	for name, data := range map[string][]byte{"empty": nil, "other": []byte("{}"), "cut": whole[:len(whole)-3], "too large": large.Bytes()} {
		if _, err := Decompress(data); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}
