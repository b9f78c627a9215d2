/**
 * The network of a fleet whose links can be cut: every address that a host is told leads through a relay of its own,
 * so that a zone, a pair of hosts or the platform can be cut off as one viewer sees it.
 */

import { LinkStandIn } from "../LinkStandIn.js";

/** One end of a link: a host, a target, or a service of the platform. */
export interface NetworkEnd {
    readonly id: string;
    /** Zone of a host or target; the platform has none. */
    readonly zone: string | undefined;
}

/** How a cut treats connections: "reset" closes them, "drop" swallows every byte and leaves them open. */
export type CutMode = "reset" | "drop";

interface Cut {
    readonly mode: CutMode;
    readonly severs: (near: NetworkEnd, far: NetworkEnd) => boolean;
}

interface NetworkLink {
    readonly near: NetworkEnd;
    readonly far: NetworkEnd;
    readonly link: LinkStandIn;
}

/** Names the platform's services as the far end of a link. */
export const platformEnd: NetworkEnd = { id: "platform", zone: undefined };

/** The relays of one fleet. */
export class FleetNetwork {
    private readonly links = new Map<string, Promise<NetworkLink>>();
    private cuts: Cut[] = [];

    /** The address under which `near` reaches `far`, which listens on `farAddress`. */
    async addressOf(near: NetworkEnd, far: NetworkEnd, farAddress: string): Promise<string> {
        const key = `${near.id}>${far.id}>${farAddress}`;
        const started = this.links.get(key) ?? this.open(near, far, farAddress);
        this.links.set(key, started);
        return (await started).link.address;
    }

    /** Cuts a zone off from the other zones and from the platform. */
    cutZone(zone: string, mode: CutMode = "drop"): Promise<void> {
        return this.cut({ mode, severs: (near, far) => (near.zone === zone) !== (far.zone === zone) });
    }

    /** Cuts two hosts off from each other, in both directions. */
    cutPeers(hostA: string, hostB: string, mode: CutMode = "drop"): Promise<void> {
        return this.cut({ mode, severs: (near, far) => isPair(near, far, hostA, hostB) });
    }

    /** Cuts a host, or every host of a zone, off from the platform. */
    cutPlatform(hostOrZone: string, mode: CutMode = "drop"): Promise<void> {
        return this.cut({
            mode,
            severs: (near, far) => far.zone === undefined && (near.id === hostOrZone || near.zone === hostOrZone),
        });
    }

    /** Lets the open connections between two ends go silent for good; new ones work. */
    async silence(idA: string, idB: string): Promise<void> {
        for (const { near, far, link } of await this.all()) {
            if (isPair(near, far, idA, idB)) {
                link.stallConnections();
            }
        }
    }

    /** Ends every cut. Connections that went silent stay silent. */
    async heal(): Promise<void> {
        this.cuts = [];
        (await this.all()).forEach(({ link }) => link.restore());
    }

    async close(): Promise<void> {
        await Promise.all((await this.all()).map(({ link }) => link.close()));
    }

    private async cut(cut: Cut): Promise<void> {
        this.cuts.push(cut);
        (await this.all()).filter(({ near, far }) => cut.severs(near, far)).forEach(({ link }) => apply(cut, link));
    }

    private async open(near: NetworkEnd, far: NetworkEnd, farAddress: string): Promise<NetworkLink> {
        const link = await LinkStandIn.start(farAddress);
        this.cuts.filter(cut => cut.severs(near, far)).forEach(cut => apply(cut, link));
        return { near, far, link };
    }

    private all(): Promise<readonly NetworkLink[]> {
        return Promise.all(this.links.values());
    }
}

function apply({ mode }: Cut, link: LinkStandIn): void {
    if (mode === "reset") {
        link.disconnect();
        return;
    }
    link.swallow();
}

function isPair(near: NetworkEnd, far: NetworkEnd, idA: string, idB: string): boolean {
    return near.id === idA && far.id === idB || near.id === idB && far.id === idA;
}
