/**
 * The platform's list of VMs, which lags. A VM counts as absent only when the
 * list has been without it for a while, since the list flaps; and when most of
 * a data centre vanishes together, absence there counts for nothing until the
 * list shows most of it again or a long time has passed.
 */

import type { VmListing } from "@dandelionbank/types";

/** A VM is absent when the list has been without it for so long. */
const ABSENT_AFTER_MS = 5_000;
/** Most of a data centre: from two VMs and this share on. */
const MASS_SHARE = 0.5;
const MASS_MIN_VMS = 2;
const DISTRUST_MS = 300_000;

interface KnownVm {
  readonly dataCentre: string;
  /** When a list first lacked it, or `undefined` while it is listed. */
  missingSinceMs: number | undefined;
}

export interface Distrust {
  readonly dataCentre: string;
  readonly vanished: number;
}

export class VmList {
  readonly #vms = new Map<string, KnownVm>();
  readonly #distrustedUntilMs = new Map<string, number>();

  static create(): VmList {
    return new VmList();
  }

  /** Takes a list over; returns the data centres that vanished in it. */
  update(vms: readonly VmListing[], nowMs: number): readonly Distrust[] {
    const listed = new Set(vms.map(({ name }) => name));
    for (const [name, vm] of this.#vms) {
      if (!listed.has(name)) vm.missingSinceMs ??= nowMs;
    }
    for (const { name, dataCentre } of vms) {
      this.#vms.set(name, { dataCentre, missingSinceMs: undefined });
    }
    return this.#weighAbsences(nowMs);
  }

  isAbsent(name: string, nowMs: number): boolean {
    const vm = this.#vms.get(name);
    if (vm === undefined) return true;
    const { missingSinceMs } = vm;
    return missingSinceMs !== undefined &&
      nowMs >= missingSinceMs + ABSENT_AFTER_MS;
  }

  isDistrusted(dataCentre: string, nowMs: number): boolean {
    return nowMs < (this.#distrustedUntilMs.get(dataCentre) ?? -Infinity);
  }

  #weighAbsences(nowMs: number): readonly Distrust[] {
    const found: Distrust[] = [];
    for (const [dataCentre, vms] of this.#byDataCentre()) {
      const missing = vms.filter((vm) => vm.missingSinceMs !== undefined);
      const isMass = missing.length >= MASS_MIN_VMS &&
        missing.length > vms.length * MASS_SHARE;
      const isKnown = this.isDistrusted(dataCentre, nowMs);
      if (!isMass) this.#distrustedUntilMs.delete(dataCentre);
      if (!isMass || isKnown) continue;
      if (!missing.some((vm) => vm.missingSinceMs === nowMs)) continue;
      this.#distrustedUntilMs.set(dataCentre, nowMs + DISTRUST_MS);
      found.push({ dataCentre, vanished: missing.length });
    }
    this.#forgetMissing(nowMs);
    return found;
  }

  #byDataCentre(): Map<string, KnownVm[]> {
    const groups = new Map<string, KnownVm[]>();
    for (const vm of this.#vms.values()) {
      const group = groups.get(vm.dataCentre) ?? [];
      group.push(vm);
      groups.set(vm.dataCentre, group);
    }
    return groups;
  }

  #forgetMissing(nowMs: number): void {
    for (const [name, { missingSinceMs, dataCentre }] of this.#vms) {
      if (missingSinceMs === undefined) continue;
      if (this.isDistrusted(dataCentre, nowMs)) continue;
      const isOld = nowMs >= missingSinceMs + ABSENT_AFTER_MS;
      if (isOld) this.#vms.delete(name);
    }
  }
}
