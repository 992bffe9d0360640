package bed

import (
	"flag"
	"fmt"
	"os"
)

// Main runs a case with the flags of the command line and exits with its code: 1 if the
// rule was broken, 0 if it held and 2 if the case could not run.
func Main(run func(o Options, trouble bool) (int, error)) {
	trouble := flag.Bool("trouble", true, "whether the disruptions are played")
	record := flag.String("record", "record.txt", "the path of the record")
	binary := flag.String("binary", "target/cyclamend", "the path of the daemon")
	flag.Parse()
	code, err := run(Options{Binary: *binary, Record: *record}, *trouble)
	if err != nil {
		fmt.Println("the case could not run:", err)
		code = ExitFailed
	}
	os.Exit(code)
}
