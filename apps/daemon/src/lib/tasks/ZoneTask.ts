/** Talks to the other zones when this host is one of the zone's representatives, and answers theirs. */

import {
    type HostListSnapshot,
    type Instant,
    type ZoneContact,
    ZoneDirectory,
    type ZoneExchange,
    type ZoneId,
} from "@tamarackpath/core";
import { Right } from "purify-ts";
import { type Context, type Task } from "../Context.js";
import { type MembershipTask } from "./MembershipTask.js";

/** Follows the other zones. */
export class ZoneTask implements Task {
    readonly name = "zones";
    private readonly directory: ZoneDirectory;
    private cancelWake: () => void = () => undefined;
    private stopped = false;

    constructor(private readonly ctx: Context, private readonly members: MembershipTask) {
        this.directory = new ZoneDirectory(ctx, ctx.clock.now());
    }

    start(): void {
        const { bus, clock, ports } = this.ctx;
        bus.on("hostListRead", snapshot => this.directory.setListedContacts(contactsByZone(snapshot)));
        bus.on("factsRaised", () => {
            this.directory.scheduleFactExchange(clock.now());
            this.planWake();
        });
        ports.peers.handle("zone-exchange", async message => {
            await bus.emit("raiseFacts", this.directory.receive(message.zone, message, clock.now()));
            return Right(this.directory.answer(message.digest));
        });
        this.planWake();
    }

    stop(): void {
        this.stopped = true;
        this.cancelWake();
    }

    dump(): unknown {
        return this.directory.describe();
    }

    private planWake(): void {
        this.cancelWake();
        if (!this.stopped) {
            this.cancelWake = this.ctx.clock.callAt(this.directory.wakeAt, () => this.wake());
        }
    }

    private wake(): void {
        const exchanges = this.directory.takeDueExchanges(this.members.contacts(), this.ctx.clock.now());
        exchanges.forEach(exchange => void this.exchange(exchange));
        this.planWake();
    }

    private async exchange({ zone, contact, message, deadline }: ZoneExchange): Promise<void> {
        const { bus, clock, ports } = this.ctx;
        ports.peers.setAddress(contact.host, contact.address);
        const res = await ports.peers.ask(contact.host, "zone-exchange", message, deadline as Instant);
        const answer = res.toMaybe().extract()?.toMaybe().extract();
        if (answer !== undefined) {
            await bus.emit("raiseFacts", this.directory.receive(zone, answer, clock.now()));
            this.directory.settle(zone, answer.digest);
        }
    }
}

function contactsByZone({ hosts }: HostListSnapshot): ReadonlyMap<ZoneId, readonly ZoneContact[]> {
    const zones = new Map<ZoneId, ZoneContact[]>();
    for (const { host, zone, peerAddress } of hosts) {
        const contacts = zones.get(zone) ?? [];
        contacts.push({ host, address: peerAddress });
        zones.set(zone, contacts);
    }
    return zones;
}
