/**
 * An expert map as a short text. A coordinator sends a map to every rank of its
 * group over one narrow link: as lists of numbers, a map of 72 ranks and 12 sets
 * takes 12 KB and more, and this takes 5 KB; what a change of it changes takes
 * some 2 KB.
 *
 * The bytes of a map, in base64: how many bytes an expert takes (1 or 2), the number of
 * sets and of ranks (2 bytes each, low byte first), then for each set and rank
 * the number of experts in one byte, and the experts. Those of a change: how many
 * bytes an expert takes, then for each rank and set that it touches the set (1
 * byte), the rank (2 bytes), and the number of experts and the experts as above.
 */

import type { ExpertMap } from "@dandelionbank/types";

const MAX_ONE_BYTE = 0xff;

export function encodeMap(map: ExpertMap): string {
  const ranks = map[0]?.length ?? 0;
  const width = chooseWidth(map);
  const bytes = [width, ...encodeShort(map.length), ...encodeShort(ranks)];
  for (const experts of map.flat()) {
    bytes.push(...encodeExperts(experts, width));
  }
  return Buffer.from(bytes).toString("base64");
}

/** Throws a `RangeError` unless the text is one whole map. */
export function decodeMap(text: string): ExpertMap {
  const reader = MapReader.create(text);
  const sets = reader.readShort();
  const ranks = reader.readShort();
  const map: (readonly (readonly number[])[])[] = [];
  // One by one: the counts may be wrong, and then the bytes run out.
  for (let set = 0; set < sets; set++) {
    const placed: (readonly number[])[] = [];
    for (let rank = 0; rank < ranks; rank++) placed.push(reader.readExperts());
    map.push(placed);
  }
  if (!reader.isAtEnd) throw new RangeError("The map is too long");
  return map;
}

/** What is new in a map of the same shape. */
export function encodeMapChange(before: ExpertMap, after: ExpertMap): string {
  const width = chooseWidth(after);
  const bytes = [width];
  after.forEach((placed, set) =>
    placed.forEach((experts, rank) => {
      if (isSame(experts, before[set]?.[rank])) return;
      bytes.push(set, ...encodeShort(rank), ...encodeExperts(experts, width));
    })
  );
  return Buffer.from(bytes).toString("base64");
}

/** Throws a `RangeError` unless the text is a change of this map. */
export function applyMapChange(before: ExpertMap, text: string): ExpertMap {
  const reader = MapReader.create(text);
  const map = before.map((placed) => [...placed]);
  while (!reader.isAtEnd) {
    const set = reader.readByte();
    const rank = reader.readShort();
    if (map[set]?.[rank] === undefined) {
      throw new RangeError(`The map has no rank ${rank} in set ${set}`);
    }
    map[set][rank] = reader.readExperts();
  }
  return map;
}

class MapReader {
  readonly #bytes: Buffer;
  readonly #width: number;
  #offset = 0;

  private constructor(bytes: Buffer) {
    this.#bytes = bytes;
    this.#width = this.readByte();
    if (this.#width !== 1 && this.#width !== 2) {
      throw new RangeError(`Experts of ${this.#width} bytes`);
    }
  }

  static create(text: string): MapReader {
    return new MapReader(Buffer.from(text, "base64"));
  }

  get isAtEnd(): boolean {
    return this.#offset === this.#bytes.length;
  }

  readByte(): number {
    return this.#read(1);
  }

  readShort(): number {
    return this.#read(2);
  }

  readExperts(): readonly number[] {
    const count = this.readByte();
    return Array.from({ length: count }, () => this.#read(this.#width));
  }

  #read(size: number): number {
    // Beyond the end this throws a RangeError.
    const value = this.#bytes.readUIntLE(this.#offset, size);
    this.#offset += size;
    return value;
  }
}

function chooseWidth(map: ExpertMap): number {
  return Math.max(0, ...map.flat(2)) > MAX_ONE_BYTE ? 2 : 1;
}

function encodeExperts(
  experts: readonly number[],
  width: number,
): readonly number[] {
  const encoded = experts.flatMap((expert) =>
    width === 1 ? [expert] : encodeShort(expert)
  );
  return [experts.length, ...encoded];
}

function encodeShort(value: number): readonly number[] {
  return [value & MAX_ONE_BYTE, value >> 8];
}

function isSame(
  left: readonly number[],
  right: readonly number[] | undefined,
): boolean {
  return left.length === right?.length &&
    left.every((expert, index) => expert === right[index]);
}
