/** Event loop in virtual time: runs scheduled calls in the order of their times, without waiting. */

interface ScheduledEvent {
    readonly at: number;
    readonly serial: number;
    readonly run: () => void;
}

/** Binary heap of scheduled calls. Calls scheduled for the same time run in the order in which they were added. */
export class EventLoop {
    /** Virtual time in milliseconds since the start. */
    now = 0;
    private readonly events: ScheduledEvent[] = [];
    private serial = 0;

    /** Schedules `run` for time `at`, or for the present if that time has passed. */
    at(at: number, run: () => void): void {
        const event = { at: Math.max(at, this.now), serial: this.serial++, run };
        let place = this.events.push(event) - 1;
        while (place > 0 && isBefore(event, this.events[(place - 1) >> 1]!)) {
            this.events[place] = this.events[(place - 1) >> 1]!;
            place = (place - 1) >> 1;
        }
        this.events[place] = event;
    }

    /** Schedules `run` after `ms` milliseconds. */
    after(ms: number, run: () => void): void {
        this.at(this.now + ms, run);
    }

    /** Runs scheduled calls until `isDone` returns true or none is left. */
    runUntil(isDone: () => boolean): void {
        while (this.events.length > 0 && !isDone()) {
            const event = this.pop();
            this.now = event.at;
            event.run();
        }
    }

    private pop(): ScheduledEvent {
        const first = this.events[0]!;
        const last = this.events.pop()!;
        if (this.events.length > 0) {
            this.siftDown(last);
        }
        return first;
    }

    private siftDown(event: ScheduledEvent): void {
        let place = 0;
        for (;;) {
            let child = 2 * place + 1;
            if (child >= this.events.length) {
                break;
            }
            if (child + 1 < this.events.length && isBefore(this.events[child + 1]!, this.events[child]!)) {
                child++;
            }
            if (!isBefore(this.events[child]!, event)) {
                break;
            }
            this.events[place] = this.events[child]!;
            place = child;
        }
        this.events[place] = event;
    }
}

function isBefore(a: ScheduledEvent, b: ScheduledEvent): boolean {
    return a.at < b.at || (a.at === b.at && a.serial < b.serial);
}
