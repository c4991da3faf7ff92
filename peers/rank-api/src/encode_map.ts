/**
 * Encodes an expert map (the experts of each rank, for each set of layers) and
 * a map change (the entries that differ between two maps) as compact text. A
 * coordinator sends a map to every rank of its group over a single
 * low-bandwidth link. As JSON arrays, a map of 72 ranks and 12 sets takes at
 * least 12 KB; this encoding takes 5 KB, and a change about 2 KB.
 *
 * Layout of a map, in base64; numbers of two bytes are little-endian:
 * - bytes per expert (1 byte, value 1 or 2)
 * - number of sets (2 bytes), number of ranks (2 bytes)
 * - for each set and each rank: number of experts (1 byte), then the experts
 *
 * Layout of a map change, in base64:
 * - bytes per expert (1 byte, value 1 or 2)
 * - for each set and rank that changed: set (1 byte), rank (2 bytes), number of
 *   experts (1 byte), then the experts
 */

import type { ExpertMap } from "@dandelionbank/types";

const MAX_BYTE = 0xff;

export function encodeMap(map: ExpertMap): string {
  const ranks = map[0]?.length ?? 0;
  const width = selectExpertWidth(map);
  const bytes = [width, ...encodeShort(map.length), ...encodeShort(ranks)];
  for (const experts of map.flat()) {
    bytes.push(...encodeExperts(experts, width));
  }
  return Buffer.from(bytes).toString("base64");
}

/** Throws a `RangeError` unless the text is exactly one complete map. */
export function decodeMap(text: string): ExpertMap {
  const reader = MapReader.create(text);
  const sets = reader.readShort();
  const ranks = reader.readShort();
  const map: (readonly (readonly number[])[])[] = [];
  // Nothing is allocated from the declared numbers in advance: a corrupt text
  // may declare any size, and reading fails once its bytes run out.
  for (let set = 0; set < sets; set++) {
    const byRank: (readonly number[])[] = [];
    for (let rank = 0; rank < ranks; rank++) byRank.push(reader.readExperts());
    map.push(byRank);
  }
  if (!reader.isAtEnd) throw new RangeError("Trailing bytes after the map");
  return map;
}

/** Encodes the entries that differ between two maps of the same shape. */
export function encodeMapChange(before: ExpertMap, after: ExpertMap): string {
  const width = selectExpertWidth(after);
  const bytes = [width];
  after.forEach((byRank, set) =>
    byRank.forEach((experts, rank) => {
      if (areEqualExperts(experts, before[set]?.[rank])) return;
      bytes.push(set, ...encodeShort(rank), ...encodeExperts(experts, width));
    })
  );
  return Buffer.from(bytes).toString("base64");
}

/** Throws a `RangeError` unless the text is a change that fits this map. */
export function applyMapChange(before: ExpertMap, text: string): ExpertMap {
  const reader = MapReader.create(text);
  const map = before.map((byRank) => [...byRank]);
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
      throw new RangeError(
        `Width of ${this.#width} bytes per expert, expected 1 or 2`,
      );
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
    // Reading beyond the end of the buffer throws a RangeError.
    const value = this.#bytes.readUIntLE(this.#offset, size);
    this.#offset += size;
    return value;
  }
}

function selectExpertWidth(map: ExpertMap): number {
  return Math.max(0, ...map.flat(2)) > MAX_BYTE ? 2 : 1;
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
  return [value & MAX_BYTE, value >> 8];
}

function areEqualExperts(
  left: readonly number[],
  right: readonly number[] | undefined,
): boolean {
  return left.length === right?.length &&
    left.every((expert, index) => expert === right[index]);
}
