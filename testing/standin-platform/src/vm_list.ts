/** The list of VMs, which shows each truth only after a lag. */

import type { VmListing } from "@dandelionbank/types";

interface VmSnapshot {
  readonly fromMs: number;
  readonly vms: readonly VmListing[];
}

export class VmList {
  #truths: VmSnapshot[] = [{ fromMs: -Infinity, vms: [] }];

  static create(): VmList {
    return new VmList();
  }

  update(vms: readonly VmListing[], nowMs: number): void {
    this.#truths.push({ fromMs: nowMs, vms });
  }

  listVisible(lagMs: number, nowMs: number): readonly VmListing[] {
    const shown = this.#truths.findLastIndex(
      (truth) => truth.fromMs + lagMs <= nowMs,
    );
    return this.#truths[Math.max(0, shown)]?.vms ?? [];
  }
}
