/** The operator: writes configurations whose versions only rise. */

import {
  CALLER_KEY,
  createConfiguration,
  ROUTES,
} from "@dandelionbank/run-entry";
import type { SiteStore } from "@dandelionbank/standin-site";

/** Also what may run once only may be sent on after proof that it has not. */
const SOAK_ROUTES = ROUTES.map((route) => ({ ...route, attempts: 2 }));

/** Taken away while the soak runs. */
export const REVOKED_KEY = "key-revoked";

export class Operator {
  readonly #store: SiteStore;
  #version = 0;
  #keys: readonly string[] = [CALLER_KEY, REVOKED_KEY];
  /** When the store took the configuration without the key. */
  revokedAtMs: number | undefined;

  private constructor(store: SiteStore) {
    this.#store = store;
  }

  static create(store: SiteStore): Operator {
    const operator = new Operator(store);
    operator.change();
    return operator;
  }

  /** A new version that allows the same. */
  change(): void {
    this.#version += 1;
    const configuration = createConfiguration({
      version: this.#version,
      routes: SOAK_ROUTES,
      keys: this.#keys,
    });
    this.#store.put("config", "main", configuration);
  }

  revoke(): void {
    if (this.revokedAtMs !== undefined) return;
    this.#keys = [CALLER_KEY];
    this.change();
    this.revokedAtMs = performance.now();
  }
}
