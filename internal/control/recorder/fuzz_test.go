package recorder

import "testing"

func FuzzUnpack(f *testing.F) {
	packed, err := Pack([]byte("a configuration"))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(packed)
	f.Add([]byte{})
	f.Fuzz(func(_ *testing.T, packed []byte) {
		// Only a panic is a failure.
		_, _ = Unpack(packed)
	})
}
