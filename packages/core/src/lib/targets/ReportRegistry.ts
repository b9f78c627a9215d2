/**
 * Which hosts of a zone probe which target, and what they last said. A few hosts probe each target and tell the others,
 * so that neither the targets' load nor a host's grows as the product of hosts and targets. Reports are hints: no
 * promise rests on them.
 */

import { type HostId, type Incarnation, type Instant, type TargetId, type WeightVersion } from "../ids.js";
import { rankNodes } from "../membership/rendezvous.js";

/** What a probe found. */
export interface TargetReport {
    readonly target: TargetId;
    readonly incarnation: Incarnation;
    readonly reachable: boolean;
    readonly version: WeightVersion | undefined;
    readonly versionWhole: boolean;
    /** The latest moment at which the probe can have begun, by this host's clock. */
    readonly seenAt: Instant;
}

/** A report on its way to another host, whose clock differs: with its age in place of its moment. */
export interface SharedReport extends Omit<TargetReport, "seenAt"> {
    readonly ageMs: number;
}

/** Probe duties and reports as one host knows them. */
export class ReportRegistry {
    private hosts: readonly HostId[];
    private readonly probers = new Map<TargetId, readonly HostId[]>();
    private readonly reports = new Map<TargetId, Map<HostId, TargetReport>>();

    constructor(private readonly self: HostId, private readonly probersPerTarget: number) {
        this.hosts = [self];
    }

    /** Sets the live hosts, this one included; duties move at once. */
    setHosts(hosts: readonly HostId[]): void {
        this.hosts = hosts.includes(this.self) ? hosts : [...hosts, this.self];
        this.probers.clear();
    }

    /** Tells whether this host has to probe the target. */
    isProber(target: TargetId): boolean {
        return this.probersOf(target).includes(this.self);
    }

    /** Notes a report of this host's own and returns whether it differs from the one before. */
    recordOwn(report: TargetReport): boolean {
        const before = this.reports.get(report.target)?.get(this.self);
        this.record(this.self, report);
        return before === undefined || !isSame(before, report);
    }

    /** Takes a report of another host. */
    record(from: HostId, report: TargetReport): void {
        const known = this.reports.get(report.target) ?? new Map<HostId, TargetReport>();
        known.set(from, report);
        this.reports.set(report.target, known);
    }

    /** This host's own reports on the targets that it has to probe. */
    own(): readonly TargetReport[] {
        return [...this.reports.values()].flatMap(known => {
            const report = known.get(this.self);
            return report !== undefined && this.isProber(report.target) ? [report] : [];
        });
    }

    /** What the target's probers say together: it is reachable when any of them reaches it. */
    combinedReport(target: TargetId, incarnation: Incarnation): TargetReport | undefined {
        const known = this.reports.get(target);
        const said = this.probersOf(target)
            .flatMap(host => known?.get(host) ?? [])
            .filter(report => report.incarnation === incarnation);
        const reaching = said.filter(report => report.reachable);
        return (reaching.length > 0 ? reaching : said).reduce<TargetReport | undefined>(later, undefined);
    }

    /** Drops what is known of a target. */
    forget(target: TargetId): void {
        this.reports.delete(target);
        this.probers.delete(target);
    }

    private probersOf(target: TargetId): readonly HostId[] {
        const known = this.probers.get(target);
        if (known !== undefined) {
            return known;
        }
        const ranked = rankNodes(`probe/${target}`, this.hosts).slice(0, this.probersPerTarget);
        this.probers.set(target, ranked);
        return ranked;
    }
}

function later(a: TargetReport | undefined, b: TargetReport): TargetReport {
    return a === undefined || b.seenAt > a.seenAt ? b : a;
}

function isSame(a: TargetReport, b: TargetReport): boolean {
    return a.incarnation === b.incarnation
        && a.reachable === b.reachable
        && a.version === b.version
        && a.versionWhole === b.versionWhole;
}
