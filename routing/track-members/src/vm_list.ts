/**
 * The platform's list of VMs, which lags and flaps. A VM counts as absent only
 * after it has been missing from the list for some time. If most VMs of a data
 * centre disappear at once, the list is distrusted for that data centre, until
 * most of them are listed again or a timeout has passed.
 */

import type { VmListing } from "@dandelionbank/types";

/** Time after which a VM missing from the list counts as absent. */
const ABSENT_AFTER_MS = 5_000;
/** A mass absence is more than this share of a data centre's VMs missing. */
const MASS_ABSENCE_SHARE = 0.5;
/** Fewer missing VMs than this are not a mass absence. */
const MASS_ABSENCE_MIN_VMS = 2;
/** Time after which the list is trusted again in any case. */
const DISTRUST_MS = 300_000;

interface KnownVm {
  readonly dataCentre: string;
  /** Time of the first list without the VM; `undefined` while it is listed. */
  missingSinceMs: number | undefined;
}

/** A data centre whose absences from the list are ignored. */
export interface Distrust {
  readonly dataCentre: string;
  /** Number of VMs that are missing from the list. */
  readonly vanished: number;
}

export class VmList {
  readonly #vms = new Map<string, KnownVm>();
  readonly #distrustedUntilMs = new Map<string, number>();

  static create(): VmList {
    return new VmList();
  }

  /** Applies a list; returns the data centres that became distrusted by it. */
  update(vms: readonly VmListing[], nowMs: number): readonly Distrust[] {
    const listed = new Set(vms.map(({ name }) => name));
    for (const [name, vm] of this.#vms) {
      if (!listed.has(name)) vm.missingSinceMs ??= nowMs;
    }
    for (const { name, dataCentre } of vms) {
      this.#vms.set(name, { dataCentre, missingSinceMs: undefined });
    }
    return this.#detectMassAbsence(nowMs);
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

  #detectMassAbsence(nowMs: number): readonly Distrust[] {
    const distrusted: Distrust[] = [];
    for (const [dataCentre, vms] of this.#groupByDataCentre()) {
      const missing = vms.filter((vm) => vm.missingSinceMs !== undefined);
      const isMassAbsence = missing.length >= MASS_ABSENCE_MIN_VMS &&
        missing.length > vms.length * MASS_ABSENCE_SHARE;
      const wasDistrusted = this.isDistrusted(dataCentre, nowMs);
      if (!isMassAbsence) this.#distrustedUntilMs.delete(dataCentre);
      if (!isMassAbsence || wasDistrusted) continue;
      if (!missing.some((vm) => vm.missingSinceMs === nowMs)) continue;
      this.#distrustedUntilMs.set(dataCentre, nowMs + DISTRUST_MS);
      distrusted.push({ dataCentre, vanished: missing.length });
    }
    this.#removeExpired(nowMs);
    return distrusted;
  }

  #groupByDataCentre(): Map<string, KnownVm[]> {
    const groups = new Map<string, KnownVm[]>();
    for (const vm of this.#vms.values()) {
      const group = groups.get(vm.dataCentre) ?? [];
      group.push(vm);
      groups.set(vm.dataCentre, group);
    }
    return groups;
  }

  #removeExpired(nowMs: number): void {
    for (const [name, { missingSinceMs, dataCentre }] of this.#vms) {
      if (missingSinceMs === undefined) continue;
      if (this.isDistrusted(dataCentre, nowMs)) continue;
      const isExpired = nowMs >= missingSinceMs + ABSENT_AFTER_MS;
      if (isExpired) this.#vms.delete(name);
    }
  }
}
