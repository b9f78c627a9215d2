/**
 * The finished samples of a step that its trainer has not received. They are indexed by group, so that complete groups
 * are delivered first, and by their oldest weight version, so that samples that become too old are found directly when
 * a version is published.
 */

import { type WeightVersion } from "../ids.js";
import { type Sample, type StepGroup } from "./StepSpec.js";
import { oldestVersion } from "./versionSpans.js";

/** Finished samples that are still to be delivered. */
export class ReadySamples {
    private readonly samples = new Map<number, Sample>();
    private readonly groupByIndex: Uint32Array;
    private readonly unfinishedInGroup: number[];
    private readonly readyInGroup: Set<number>[];
    private readonly completeGroups = new Set<number>();
    private readonly partialGroups = new Set<number>();
    private readonly indicesByOldestVersion = new Map<WeightVersion, Set<number>>();

    constructor(private readonly groups: readonly StepGroup[], sampleCount: number) {
        this.groupByIndex = new Uint32Array(sampleCount);
        this.unfinishedInGroup = groups.map(group => group.samples);
        this.readyInGroup = groups.map(() => new Set());
        let index = 0;
        groups.forEach((group, nth) => {
            this.groupByIndex.fill(nth, index, index + group.samples);
            index += group.samples;
        });
    }

    get(index: number): Sample | undefined {
        return this.samples.get(index);
    }

    /** Returns whether sample `index` is the only unfinished one of a group of several samples. */
    isLastOfGroup(index: number): boolean {
        const group = this.groupByIndex[index]!;
        return this.unfinishedInGroup[group] === 1 && this.groups[group]!.samples > 1;
    }

    add(sample: Sample): void {
        const group = this.groupByIndex[sample.index]!;
        this.samples.set(sample.index, sample);
        this.unfinishedInGroup[group]!--;
        this.readyInGroup[group]!.add(sample.index);
        const version = oldestVersion(sample.spans);
        this.indicesByOldestVersion.set(
            version,
            (this.indicesByOldestVersion.get(version) ?? new Set()).add(sample.index),
        );
        this.place(group);
    }

    /** Records that the trainer has received a sample, whether or not it was ready here. */
    markReceived(index: number): void {
        if (!this.remove(index)) {
            const group = this.groupByIndex[index]!;
            this.unfinishedInGroup[group]!--;
            this.place(group);
        }
    }

    /** Removes the samples that contain a version below `minFreshVersion`, and returns their indices. */
    dropOlderThan(minFreshVersion: WeightVersion): readonly number[] {
        const stale = [...this.indicesByOldestVersion]
            .filter(([version]) => version < minFreshVersion)
            .flatMap(([, indices]) => [...indices]);
        for (const index of stale) {
            this.remove(index);
            this.unfinishedInGroup[this.groupByIndex[index]!]!++;
            this.place(this.groupByIndex[index]!);
        }
        return stale;
    }

    /** Returns the next samples to deliver, complete groups first: at most `limit`, of about `maxLength` characters. */
    next(limit: number, maxLength: number): readonly Sample[] {
        const batch: Sample[] = [];
        let length = 0;
        for (const sample of this.inDeliveryOrder()) {
            length += sample.text.length;
            if (batch.length === limit || batch.length > 0 && length > maxLength) {
                break;
            }
            batch.push(sample);
        }
        return batch;
    }

    /** Yields every ready sample, those of complete groups first. */
    *inDeliveryOrder(): Generator<Sample> {
        for (const groups of [this.completeGroups, this.partialGroups]) {
            for (const group of groups) {
                for (const index of this.readyInGroup[group]!) {
                    yield this.samples.get(index)!;
                }
            }
        }
    }

    private remove(index: number): boolean {
        const sample = this.samples.get(index);
        if (sample === undefined) {
            return false;
        }
        const version = oldestVersion(sample.spans);
        const indices = this.indicesByOldestVersion.get(version);
        indices?.delete(index);
        if (indices?.size === 0) {
            this.indicesByOldestVersion.delete(version);
        }
        this.samples.delete(index);
        this.readyInGroup[this.groupByIndex[index]!]!.delete(index);
        this.place(this.groupByIndex[index]!);
        return true;
    }

    /** Moves a group to the set that it isMember to, or out of both sets if it has no ready sample. */
    private place(group: number): void {
        const hasReady = this.readyInGroup[group]!.size > 0;
        const isWhole = this.unfinishedInGroup[group] === 0;
        this.setMember(this.completeGroups, group, hasReady && isWhole);
        this.setMember(this.partialGroups, group, hasReady && !isWhole);
    }

    private setMember(groups: Set<number>, group: number, isMember: boolean): void {
        if (isMember) {
            groups.add(group);
        }
        else {
            groups.delete(group);
        }
    }
}
