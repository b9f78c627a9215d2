/** A binary heap that also updates and removes any of its items in logarithmic time. */

/** A heap with the first item by `isBefore` on top. After an item's sort key has changed, call `update`. */
export class IndexedHeap<Item> {
    private readonly items: Item[] = [];
    private readonly places = new Map<Item, number>();

    constructor(private readonly isBefore: (a: Item, b: Item) => boolean) {}

    get size(): number {
        return this.items.length;
    }

    has(item: Item): boolean {
        return this.places.has(item);
    }

    peek(): Item | undefined {
        return this.items[0];
    }

    /** The item at a position of the heap's array. Position 0 is the first item; the others are not sorted. */
    at(position: number): Item | undefined {
        return this.items[position];
    }

    push(item: Item): void {
        this.items.push(item);
        this.places.set(item, this.items.length - 1);
        this.siftUp(this.items.length - 1);
    }

    pop(): Item | undefined {
        const first = this.items[0];
        if (first !== undefined) {
            this.remove(first);
        }
        return first;
    }

    remove(item: Item): boolean {
        const place = this.places.get(item);
        if (place === undefined) {
            return false;
        }
        const last = this.items.pop()!;
        this.places.delete(item);
        if (last !== item) {
            this.items[place] = last;
            this.places.set(last, place);
            this.update(last);
        }
        return true;
    }

    /** Moves an item to its place after its sort key has changed. */
    update(item: Item): void {
        const place = this.places.get(item);
        if (place !== undefined) {
            this.siftDown(this.siftUp(place));
        }
    }

    private siftUp(start: number): number {
        let place = start;
        while (place > 0) {
            const parent = (place - 1) >> 1;
            if (!this.isBefore(this.items[place]!, this.items[parent]!)) {
                break;
            }
            this.swap(place, parent);
            place = parent;
        }
        return place;
    }

    private siftDown(start: number): void {
        let place = start;
        for (;;) {
            const left = 2 * place + 1;
            const right = left + 1;
            let first = place;
            if (left < this.items.length && this.isBefore(this.items[left]!, this.items[first]!)) {
                first = left;
            }
            if (right < this.items.length && this.isBefore(this.items[right]!, this.items[first]!)) {
                first = right;
            }
            if (first === place) {
                return;
            }
            this.swap(place, first);
            place = first;
        }
    }

    private swap(a: number, b: number): void {
        const itemA = this.items[a]!;
        const itemB = this.items[b]!;
        this.items[a] = itemB;
        this.items[b] = itemA;
        this.places.set(itemB, a);
        this.places.set(itemA, b);
    }
}
