/**
 * Assigns the hosts of a zone as probers to targets, and keeps their last reports. A few hosts probe each target and
 * report to the others, so that neither the load on targets nor that on hosts grows as the product of hosts and
 * targets. Reports may be wrong or out of date, so no guarantee may depend on them.
 */

import { type HostId, type Incarnation, type Instant, type TargetId, type WeightVersion } from "../ids.js";
import { rankNodes } from "../membership/rendezvous.js";

/** The result of a probe. */
export interface TargetReport {
    readonly target: TargetId;
    readonly incarnation: Incarnation;
    readonly reachable: boolean;
    readonly version: WeightVersion | undefined;
    readonly versionWhole: boolean;
    /** The latest time at which the probe can have begun, by this host's clock. */
    readonly seenAt: Instant;
}

/** A report as sent to another host. It has an age in place of a time, because the hosts' clocks differ. */
export interface SharedReport extends Omit<TargetReport, "seenAt"> {
    readonly ageMs: number;
}

/** One host's view of the probers of targets and of their reports. */
export class ReportRegistry {
    private hosts: readonly HostId[];
    private readonly probers = new Map<TargetId, readonly HostId[]>();
    private readonly reports = new Map<TargetId, Map<HostId, TargetReport>>();

    constructor(private readonly self: HostId, private readonly probersPerTarget: number) {
        this.hosts = [self];
    }

    /** Sets the live hosts, to which this one is added if it is missing. Probers are reassigned at once. */
    setHosts(hosts: readonly HostId[]): void {
        this.hosts = hosts.includes(this.self) ? hosts : [...hosts, this.self];
        this.probers.clear();
    }

    /** Whether this host is one of the target's probers. */
    isProber(target: TargetId): boolean {
        return this.probersOf(target).includes(this.self);
    }

    /** Records a report of this host, and returns whether it differs from the previous one. */
    recordOwn(report: TargetReport): boolean {
        const before = this.reports.get(report.target)?.get(this.self);
        this.record(this.self, report);
        return before === undefined || !isSame(before, report);
    }

    /** Records a report of another host. */
    record(from: HostId, report: TargetReport): void {
        const known = this.reports.get(report.target) ?? new Map<HostId, TargetReport>();
        known.set(from, report);
        this.reports.set(report.target, known);
    }

    /** This host's reports on the targets that it is a prober of. */
    own(): readonly TargetReport[] {
        return [...this.reports.values()].flatMap(known => {
            const report = known.get(this.self);
            return report !== undefined && this.isProber(report.target) ? [report] : [];
        });
    }

    /**
     * The probers' reports on a target, combined: the latest report of those that reach it, otherwise the latest of
     * all, or undefined without any. Reports on other incarnations are ignored.
     */
    combinedReport(target: TargetId, incarnation: Incarnation): TargetReport | undefined {
        const known = this.reports.get(target);
        const reports = this.probersOf(target)
            .flatMap(host => known?.get(host) ?? [])
            .filter(report => report.incarnation === incarnation);
        const reaching = reports.filter(report => report.reachable);
        return (reaching.length > 0 ? reaching : reports).reduce<TargetReport | undefined>(latest, undefined);
    }

    /** Removes the reports on a target. */
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

function latest(a: TargetReport | undefined, b: TargetReport): TargetReport {
    return a === undefined || b.seenAt > a.seenAt ? b : a;
}

function isSame(a: TargetReport, b: TargetReport): boolean {
    return a.incarnation === b.incarnation
        && a.reachable === b.reachable
        && a.version === b.version
        && a.versionWhole === b.versionWhole;
}
