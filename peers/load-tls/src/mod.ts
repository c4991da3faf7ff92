/** Loads keys and certificates, and loads them again when they are replaced. */

export { createConnector } from "./connector.ts";
export type { ConnectorOptions } from "./connector.ts";
export { TlsMaterial } from "./tls_material.ts";
export type { TlsMaterialOptions } from "./tls_material.ts";
