/** The list of VMs, in which each change appears only after a lag. */

import type { VmListing } from "@dandelionbank/types";

interface VmSnapshot {
  readonly updatedAtMs: number;
  readonly vms: readonly VmListing[];
}

export class VmList {
  #snapshots: VmSnapshot[] = [{ updatedAtMs: -Infinity, vms: [] }];

  static create(): VmList {
    return new VmList();
  }

  update(vms: readonly VmListing[], nowMs: number): void {
    this.#snapshots.push({ updatedAtMs: nowMs, vms });
  }

  listVisible(lagMs: number, nowMs: number): readonly VmListing[] {
    const visibleIndex = this.#snapshots.findLastIndex(
      (snapshot) => snapshot.updatedAtMs + lagMs <= nowMs,
    );
    return this.#snapshots[Math.max(0, visibleIndex)]?.vms ?? [];
  }
}
