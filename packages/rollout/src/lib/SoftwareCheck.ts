/**
 * Confirms the software of targets that is in doubt since a connection to them was lost: a target whose report names the
 * incarnation of its entry has not restarted.
 */

import { type Clock, type RolloutEngines, type TargetEntryView, type TargetId } from "@tamarackpath/core";
import { type HostView } from "./HostView.js";
import { type Journal } from "./Journal.js";
import { type RequestPermits } from "./RequestPermits.js";

/** Name of these reports among the requests to targets with a rate limit. */
const checksFlow = "checks";

/** Upper limit of the targets that are asked for one stream. */
const maxAskedTargets = 3;

/** Upper limit of the reports of one target that are read for a check. */
const maxReports = 3;

/** Asks targets for their reports. */
export class SoftwareCheck {
    private readonly pending = new Map<TargetId, Promise<void>>();

    constructor(
        private readonly view: HostView,
        private readonly engines: RolloutEngines,
        private readonly permits: RequestPermits,
        private readonly clock: Clock,
        private readonly journal: Journal,
    ) {}

    /** Asks some of `entries`, whose software is in doubt, and waits for all answers. */
    async confirm(entries: readonly TargetEntryView[]): Promise<void> {
        const now = this.clock.now();
        const asked = entries.filter(entry => this.permits.available(entry, checksFlow, now) >= 1)
            .slice(0, maxAskedTargets);
        await Promise.all(asked.map(entry => this.ask(entry)));
    }

    /** Asks a target once at a time, however many streams wait for the answer. */
    private ask(entry: TargetEntryView): Promise<void> {
        const pending = this.pending.get(entry.target)
            ?? this.readReport(entry).finally(() => this.pending.delete(entry.target));
        this.pending.set(entry.target, pending);
        return pending;
    }

    /** Reads the target's report, and again while connections to it were lost in the meantime. */
    private async readReport(entry: TargetEntryView): Promise<void> {
        for (let nth = 0; nth < maxReports && this.view.software.of(entry) === undefined; nth++) {
            const askedAt = this.clock.now();
            const res = await this.engines.report(entry, this.permits.take(entry, checksFlow));
            const incarnation = res.toMaybe().extract()?.incarnation;
            this.journal.log("software-checked", {
                target: entry.target,
                software: entry.software,
                same: incarnation === undefined ? undefined : incarnation === entry.incarnation,
                detail: res.swap().toMaybe().extract(),
                ms: this.clock.now() - askedAt,
            });
            if (incarnation === undefined || incarnation !== entry.incarnation) {
                return;
            }
            this.view.software.confirm(entry, incarnation, askedAt);
        }
    }
}
