/**
 * The network of a fleet whose links can be cut. Each host has its own relay to every address that it uses, so that a
 * zone, a pair of hosts or the platform can be cut off for one host without an effect on the others.
 */

import { LinkStandIn } from "../LinkStandIn.js";

/** An endpoint of a link: a host, a target, or a service of the platform. */
export interface NetworkEndpoint {
    readonly id: string;
    /** Zone of a host or target; undefined for the platform. */
    readonly zone: string | undefined;
}

/** How a cut treats connections: "reset" resets them, "drop" leaves them open and forwards no bytes. */
export type CutMode = "reset" | "drop";

interface Cut {
    readonly mode: CutMode;
    readonly affects: (origin: NetworkEndpoint, destination: NetworkEndpoint) => boolean;
}

interface NetworkLink {
    readonly origin: NetworkEndpoint;
    readonly destination: NetworkEndpoint;
    readonly link: LinkStandIn;
}

/** The platform's services as the destination of a link. */
export const platformEndpoint: NetworkEndpoint = { id: "platform", zone: undefined };

/** The relays of one fleet. */
export class FleetNetwork {
    private readonly links = new Map<string, Promise<NetworkLink>>();
    private cuts: Cut[] = [];

    /** Returns the relay address at which `origin` reaches `destination`, which listens on `destinationAddress`. */
    async addressOf(
        origin: NetworkEndpoint,
        destination: NetworkEndpoint,
        destinationAddress: string,
    ): Promise<string> {
        const key = `${origin.id}>${destination.id}>${destinationAddress}`;
        const started = this.links.get(key) ?? this.open(origin, destination, destinationAddress);
        this.links.set(key, started);
        return (await started).link.address;
    }

    /** Cuts a zone off from the other zones and from the platform. */
    cutZone(zone: string, mode: CutMode = "drop"): Promise<void> {
        return this.cut({
            mode,
            affects: (origin, destination) => (origin.zone === zone) !== (destination.zone === zone),
        });
    }

    /** Cuts two hosts off from each other, in both directions. */
    cutPeers(hostA: string, hostB: string, mode: CutMode = "drop"): Promise<void> {
        return this.cut({ mode, affects: (origin, destination) => isPair(origin, destination, hostA, hostB) });
    }

    /** Cuts a host, or every host of a zone, off from the platform's services. */
    cutPlatform(hostOrZone: string, mode: CutMode = "drop"): Promise<void> {
        return this.cut({
            mode,
            affects: (origin, destination) =>
                destination.zone === undefined && (origin.id === hostOrZone || origin.zone === hostOrZone),
        });
    }

    /** Stops forwarding on the open connections between two endpoints permanently, without closing them; new ones work. */
    async stallConnections(idA: string, idB: string): Promise<void> {
        for (const { origin, destination, link } of await this.openLinks()) {
            if (isPair(origin, destination, idA, idB)) {
                link.stallConnections();
            }
        }
    }

    /** Ends every cut; stalled connections stay stalled. */
    async restore(): Promise<void> {
        this.cuts = [];
        (await this.openLinks()).forEach(({ link }) => link.restore());
    }

    async close(): Promise<void> {
        await Promise.all((await this.openLinks()).map(({ link }) => link.close()));
    }

    private async cut(cut: Cut): Promise<void> {
        this.cuts.push(cut);
        (await this.openLinks()).filter(({ origin, destination }) => cut.affects(origin, destination)).forEach((
            { link },
        ) => apply(cut, link));
    }

    private async open(
        origin: NetworkEndpoint,
        destination: NetworkEndpoint,
        destinationAddress: string,
    ): Promise<NetworkLink> {
        const link = await LinkStandIn.start(destinationAddress);
        this.cuts.filter(cut => cut.affects(origin, destination)).forEach(cut => apply(cut, link));
        return { origin, destination, link };
    }

    private openLinks(): Promise<readonly NetworkLink[]> {
        return Promise.all(this.links.values());
    }
}

function apply({ mode }: Cut, link: LinkStandIn): void {
    if (mode === "reset") {
        link.disconnect();
        return;
    }
    link.blackhole();
}

function isPair(origin: NetworkEndpoint, destination: NetworkEndpoint, idA: string, idB: string): boolean {
    return origin.id === idA && destination.id === idB || origin.id === idB && destination.id === idA;
}
