/** Writes the site's configuration, with a higher version at each change. */

import {
  CALLER_KEY,
  createConfiguration,
  ROUTES,
} from "@dandelionbank/run-entry";
import type { SiteStore } from "@dandelionbank/standin-site";

/**
 * Two attempts on every route, also those for requests that may run only once:
 * an entry may retry such a request after a proof that it has not run.
 */
const SOAK_ROUTES = ROUTES.map((route) => ({ ...route, attempts: 2 }));

/** The key that the soak revokes halfway. */
export const REVOKED_KEY = "key-revoked";

export class Operator {
  readonly #store: SiteStore;
  #version = 0;
  #keys: readonly string[] = [CALLER_KEY, REVOKED_KEY];
  /** Time at which the configuration without the key was stored. */
  revokedAtMs: number | undefined;

  private constructor(store: SiteStore) {
    this.#store = store;
  }

  static create(store: SiteStore): Operator {
    const operator = new Operator(store);
    operator.change();
    return operator;
  }

  /** Writes a new version with the same routes and keys. */
  change(): void {
    this.#version += 1;
    this.writeAgain();
  }

  /** Writes the newest version again, after the store may have lost it. */
  writeAgain(): void {
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
