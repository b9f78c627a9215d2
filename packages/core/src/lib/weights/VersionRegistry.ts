/**
 * The highest weight version that each service's trainer published. The trainer is the only writer and versions only
 * rise, so that the highest one seen is right wherever it came from.
 */

import { type ServiceId, type WeightVersion } from "../ids.js";
import { type SharedEntry, type SharedEntrySource } from "../shared/SharedEntryRegistry.js";

/** Prefix of the published versions' keys. */
export const versionPrefix = "tamarackpath/versions/";

/** Holds the published versions on one host. */
export class VersionRegistry implements SharedEntrySource {
    readonly prefix = versionPrefix;
    private readonly versions = new Map<ServiceId, WeightVersion>();

    constructor(private readonly onRise: (service: ServiceId, version: WeightVersion) => void = () => undefined) {}

    /** Notes a version and returns whether it is the highest one so far. */
    record(service: ServiceId, version: WeightVersion): boolean {
        if (version <= (this.versions.get(service) ?? -1)) {
            return false;
        }
        this.versions.set(service, version);
        this.onRise(service, version);
        return true;
    }

    get(service: ServiceId): WeightVersion | undefined {
        return this.versions.get(service);
    }

    all(): ReadonlyMap<ServiceId, WeightVersion> {
        return this.versions;
    }

    numbers(): ReadonlyMap<string, number> {
        return new Map([...this.versions].map(([service, version]) => [`${versionPrefix}${service}`, version]));
    }

    text(key: string): string | undefined {
        const version = this.versions.get(key.slice(versionPrefix.length) as ServiceId);
        return version === undefined ? undefined : String(version);
    }

    offer({ key, text }: SharedEntry): boolean {
        const version = Number(text);
        const isVersion = text !== "" && Number.isSafeInteger(version) && version >= 0;
        return isVersion && this.record(key.slice(versionPrefix.length) as ServiceId, version as WeightVersion);
    }
}
