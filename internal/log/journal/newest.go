package journal

import "context"

// ReadNewest calls f with the newest record of each key. It returns the offset
// from which to read the stream afterwards: the pages together are not a
// consistent snapshot, and records written between two pages are found from
// that offset on.
func ReadNewest(ctx context.Context, j Journal, f func(Record)) (int64, error) {
	after, next := "", int64(-1)
	for more := true; more; {
		page, err := j.Newest(ctx, after)
		if err != nil {
			return 0, err
		}
		if next < 0 {
			next = page.Head
		}
		for _, r := range page.Records {
			after = r.Key
			f(r)
		}
		more = page.More && len(page.Records) > 0
	}
	return next, nil
}
