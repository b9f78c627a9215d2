/**
 * The streams of callers that began in the last minute, and the software that began each. A caller may take its stream up
 * again at any host. Records expire, and the oldest make room for new ones.
 */

import { type TargetEntryView } from "../directory/TargetDirectory.js";
import { type Instant, type ServiceId, type SoftwareVersion } from "../ids.js";
import { isContradictedBy, type SoftwareRun } from "./SoftwareRun.js";

/** Who began a stream. */
export interface StreamRecord extends SoftwareRun {
    /** Id of the request that brought the stream's first event. */
    readonly stream: string;
    readonly service: ServiceId;
    readonly software: SoftwareVersion;
}

/** Milliseconds after its start for which a stream may be taken up: several times the longest time of a route. */
export const streamLifetimeMs = 60_000;

/** Upper limit of the records that one host keeps. */
const maxRecords = 20_000;

/** Keeps the records of one host, in the order in which the streams began. */
export class StreamRecords {
    private readonly records = new Map<string, StreamRecord>();

    get size(): number {
        return this.records.size;
    }

    add(record: StreamRecord): void {
        this.records.delete(record.stream);
        this.records.set(record.stream, record);
        for (const [stream, { startedAt }] of this.records) {
            if (this.records.size <= maxRecords && startedAt > record.startedAt - streamLifetimeMs) {
                break;
            }
            this.records.delete(stream);
        }
    }

    get(stream: string, now: Instant): StreamRecord | undefined {
        const record = this.records.get(stream);
        return record !== undefined && record.startedAt > now - streamLifetimeMs ? record : undefined;
    }

    /** Those of the newest `max` records that have not expired and fit into `maxBytes` when they are stored. */
    newest(max: number, maxBytes: number, now: Instant): readonly StreamRecord[] {
        let bytes = 0;
        return [...this.records.values()].slice(-max).filter(({ startedAt }) => startedAt > now - streamLifetimeMs)
            .reverse()
            .filter(record => {
                const size = storedBytesOf(record);
                const fits = bytes + size <= maxBytes;
                bytes += fits ? size : 0;
                return fits;
            })
            .reverse();
    }

    /** Drops the records that a restarted target shows to be wrong; returns whether there were any. */
    discardContradicted(entry: TargetEntryView): boolean {
        const wrong = [...this.records.values()].filter(record => isContradictedBy(record, entry));
        wrong.forEach(({ stream }) => this.records.delete(stream));
        return wrong.length > 0;
    }
}

/** Upper limit of the bytes of a stored record beside its texts: field names, numbers and lengths. */
const overheadBytes = 110;

function storedBytesOf({ stream, service, software, target }: StreamRecord): number {
    return [stream, service, software, target].reduce((sum, text) => sum + Buffer.byteLength(text), overheadBytes);
}
