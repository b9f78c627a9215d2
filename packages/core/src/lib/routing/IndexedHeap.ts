/** A binary heap that also updates and removes any of its items in logarithmic time. */

/** A heap with the first item by `isBefore` on top. After an item's sort key has changed, call `update`. */
export class IndexedHeap<Item> {
    private readonly items: Item[] = [];
    private readonly positions = new Map<Item, number>();

    constructor(private readonly isBefore: (a: Item, b: Item) => boolean) {}

    get size(): number {
        return this.items.length;
    }

    has(item: Item): boolean {
        return this.positions.has(item);
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
        this.positions.set(item, this.items.length - 1);
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
        const position = this.positions.get(item);
        if (position === undefined) {
            return false;
        }
        const last = this.items.pop()!;
        this.positions.delete(item);
        if (last !== item) {
            this.items[position] = last;
            this.positions.set(last, position);
            this.update(last);
        }
        return true;
    }

    /** Moves an item to its place after its sort key has changed. */
    update(item: Item): void {
        const position = this.positions.get(item);
        if (position !== undefined) {
            this.siftDown(this.siftUp(position));
        }
    }

    private siftUp(start: number): number {
        let position = start;
        while (position > 0) {
            const parent = (position - 1) >> 1;
            if (!this.isBefore(this.items[position]!, this.items[parent]!)) {
                break;
            }
            this.swap(position, parent);
            position = parent;
        }
        return position;
    }

    private siftDown(start: number): void {
        let position = start;
        for (;;) {
            const left = 2 * position + 1;
            const right = left + 1;
            let first = position;
            if (left < this.items.length && this.isBefore(this.items[left]!, this.items[first]!)) {
                first = left;
            }
            if (right < this.items.length && this.isBefore(this.items[right]!, this.items[first]!)) {
                first = right;
            }
            if (first === position) {
                return;
            }
            this.swap(position, first);
            position = first;
        }
    }

    private swap(a: number, b: number): void {
        const itemA = this.items[a]!;
        const itemB = this.items[b]!;
        this.items[a] = itemB;
        this.items[b] = itemA;
        this.positions.set(itemB, a);
        this.positions.set(itemA, b);
    }
}
