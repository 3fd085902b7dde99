package httpjson_test

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/amaranthwell/amaranthwell/httpjson"
)

func ExampleDecode() {
	for status, body := range map[int]string{200: `{"offset":7}`, 404: "no such call"} {
		var answer struct {
			Offset int `json:"offset"`
		}
		err := httpjson.Decode(status, []byte(body), &answer)
		var refused *httpjson.StatusError
		fmt.Println(answer.Offset, errors.As(err, &refused))
	}
	// Unordered output:
	// 7 false
	// 0 true
}
