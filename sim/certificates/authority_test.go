package certificates_test

import (
	"os"
	"strconv"
	"testing"

	"github.com/reelrun/reelrun/sim/certificates"
)

// TestFilesAreNeverPartial reads the authority's file while more certificates are
// issued into the same folder, as a process that starts at that time does. If the
// file were written in place, a part of it could be read.
func TestFilesAreNeverPartial(t *testing.T) {
	authority, err := certificates.NewAuthority(certificates.Options{})
	if err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	files, _, err := authority.Issue(folder, "first")
	if err != nil {
		t.Fatal(err)
	}
	complete, err := os.ReadFile(files.Authority)
	if err != nil {
		t.Fatal(err)
	}
	issued := make(chan error, 1)
	go func() {
		for i := range 300 {
			if _, _, err := authority.Issue(folder, strconv.Itoa(i)); err != nil {
				issued <- err
				return
			}
		}
		issued <- nil
	}()
	for {
		select {
		case err := <-issued:
			if err != nil {
				t.Fatal(err)
			}
			return
		default:
		}
		read, err := os.ReadFile(files.Authority)
		if err != nil {
			t.Fatal(err)
		}
		if string(read) != string(complete) {
			t.Fatalf("read partial file: %d of %d bytes", len(read), len(complete))
		}
	}
}
