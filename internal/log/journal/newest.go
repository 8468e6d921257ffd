package journal

import "context"

// ReadNewest calls f with the newest record of each key. It returns the offset
// from which to read the stream afterwards: the pages together are not a
// consistent snapshot, and records written between two pages are found from
// that offset on, up to the end of the stream at the last page, which it returns, too.
func ReadNewest(ctx context.Context, j Journal, f func(Record)) (next, end int64, err error) {
	after := ""
	next = -1
	for more := true; more; {
		page, err := j.Newest(ctx, after)
		if err != nil {
			return 0, 0, err
		}
		if next < 0 {
			next = page.Head
		}
		end = page.Head
		for _, r := range page.Records {
			after = r.Key
			f(r)
		}
		more = page.More && len(page.Records) > 0
	}
	return next, end, nil
}
