package follow

import (
	"testing"

	"github.com/matryer/is"

	"chervilspan.example/internal/proto/peerpb"
	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
)

// TestDocumentForms guards against VMs of an earlier release, which know no compressed
// documents, being sent one, and against a document that is read in one form only.
func TestDocumentForms(t *testing.T) {
	is := is.New(t)
	f := New(Config{})
	f.Apply(&catal.Catalogue{Version: 5, Sharing: catal.Sharing{Shards: 1, Slices: 36}}, FromStore)
	for _, gzip := range []bool{false, true} {
		r, err := f.GetCatalogue(t.Context(), &peerpb.GetCatalogueRequest{HaveVersion: 4, Gzip: gzip})
		is.NoErr(err)
		is.Equal(len(r.GetDocumentGzip()) > 0, gzip)
		is.Equal(len(r.GetDocument()) > 0, !gzip)
		c, err := readReply(r)
		is.NoErr(err)
		is.Equal(c.Version, ident.Version(5))
		is.Equal(c.Sharing.Slices, f.Catalogue().Sharing.Slices)
		r.Sha256[0]++
		_, err = readReply(r)
		is.Equal(err, errWrongHash)
		r.Sha256[0]-- // the reply shares the hash with later ones
	}
}
