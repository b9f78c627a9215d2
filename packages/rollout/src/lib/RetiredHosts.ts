/** Confirms to the operators that hosts which are to be retired hold nothing. */

import { type PlatformDocuments } from "@tamarackpath/core";
import { type ConductorTask } from "./ConductorTask.js";
import { type HostView } from "./HostView.js";
import { type Journal } from "./Journal.js";

/** Confirms each retiring host once, while this host conducts. */
export class RetiredHosts {
    private readonly confirmed = new Set<string>();

    constructor(
        private readonly name: string,
        private readonly view: HostView,
        private readonly conductor: ConductorTask,
        private readonly documents: PlatformDocuments,
        private readonly journal: Journal,
    ) {}

    /** As conductor, confirms to the operators that retiring hosts hold nothing; a retiring conductor resigns first. */
    async confirm(): Promise<void> {
        const { retiring } = this.view;
        if (retiring.includes(this.name) && this.conductor.isConductor) {
            await this.conductor.resign();
        }
        if (!this.conductor.isConductor) {
            return;
        }
        for (const host of retiring.filter(name => !this.confirmed.has(name))) {
            this.confirmed.add(host);
            const res = await this.documents.confirmRetired(host);
            this.journal.log("host-retired", { host, written: res.isRight() });
            if (res.isLeft()) {
                this.confirmed.delete(host);
            }
        }
    }
}
