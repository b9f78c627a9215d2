/** Queue of the updates to piggyback on messages: each is sent a bounded number of times, the least sent ones first. */

interface Entry<Update> {
    readonly update: Update;
    sends: number;
}

/** Number of sends of an update for each doubling of the zone's size. */
const sendsPerZoneDoubling = 3;

/** Returns how often each host sends an update in a zone of `members` members. */
export function maxSendsPerUpdate(members: number): number {
    return sendsPerZoneDoubling * Math.ceil(Math.log2(members + 1));
}

/** Pending updates by key; a later update replaces an earlier one with the same key. */
export class GossipQueue<Update> {
    private readonly entries = new Map<string, Entry<Update>>();

    get length(): number {
        return this.entries.size;
    }

    add(key: string, update: Update): void {
        this.entries.delete(key);
        this.entries.set(key, { update, sends: 0 });
    }

    /** Returns up to `count` updates to send, and drops those that have then been sent `maxSends` times. */
    take(count: number, maxSends: number): readonly Update[] {
        const chosen = [...this.entries].sort(([, a], [, b]) => a.sends - b.sends).slice(0, count);
        for (const [key, entry] of chosen) {
            entry.sends++;
            if (entry.sends >= maxSends) {
                this.entries.delete(key);
            }
        }
        return chosen.map(([, entry]) => entry.update);
    }
}
