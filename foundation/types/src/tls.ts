/** Where a process finds its keys and certificates. */

/** One PEM text, or the file that holds it. */
export type PemSource =
  | { readonly kind: "file"; readonly path: string }
  | { readonly kind: "text"; readonly text: string };

export interface TlsSource {
  readonly certificate: PemSource;
  readonly key: PemSource;
  /** Authority of the other side's certificate; its presence makes TLS mutual. */
  readonly authority?: PemSource;
}
