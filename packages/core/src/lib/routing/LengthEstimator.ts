/** Estimates the length of work by its class, as quantiles of a histogram whose old samples decay. */

/** Histogram buckets per doubling of the length. */
const bucketsPerDoubling = 4;
const bucketCount = 96;

/** Number of samples at which all counts of a class are halved. */
const decayAfterSamples = 512;

/** Minimum number of samples for an estimate. */
const minSamples = 8;

/** Maximum number of classes with a histogram. */
const maxClasses = 4096;

interface Histogram {
    readonly buckets: Float64Array;
    total: number;
}

/** Keeps one histogram for each class; the least recently recorded class is evicted first. */
export class LengthEstimator {
    private readonly classes = new Map<string, Histogram>();

    /** Records the length of work of the class `name`, in tokens. */
    record(name: string, tokens: number): void {
        const histogram = this.classes.get(name) ?? { buckets: new Float64Array(bucketCount), total: 0 };
        this.classes.delete(name);
        this.classes.set(name, histogram);
        if (this.classes.size > maxClasses) {
            this.classes.delete(this.classes.keys().next().value!);
        }
        histogram.buckets[bucketOf(tokens)]! += 1;
        histogram.total += 1;
        if (histogram.total >= decayAfterSamples) {
            halve(histogram);
        }
    }

    /** The `quantile` of the lengths of the class `name`, in tokens, or undefined while there are too few samples. */
    quantile(name: string, quantile: number): number | undefined {
        const histogram = this.classes.get(name);
        if (histogram === undefined || histogram.total < minSamples) {
            return undefined;
        }
        let below = 0;
        for (let bucket = 0; bucket < bucketCount; bucket++) {
            below += histogram.buckets[bucket]!;
            if (below >= quantile * histogram.total) {
                return Math.pow(2, (bucket + 0.5) / bucketsPerDoubling);
            }
        }
        return undefined;
    }
}

function bucketOf(tokens: number): number {
    return Math.min(bucketCount - 1, Math.floor(bucketsPerDoubling * Math.log2(Math.max(1, tokens))));
}

function halve(histogram: Histogram): void {
    histogram.total = 0;
    histogram.buckets.forEach((count, bucket) => {
        histogram.buckets[bucket] = count / 2;
        histogram.total += count / 2;
    });
}
