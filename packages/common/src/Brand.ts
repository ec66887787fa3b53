declare const brandName: unique symbol

/** A primitive type that the compiler does not mix up with others of the same base type. */
export type Brand<Base extends string | number, Name extends string> = Base & { readonly [brandName]: Name }

/**
 * Casts a plain value to a branded type, without a check.
 *
 * @example
 * const id = brand<WorkspaceId>('canicas-norte')
 */
export const brand = <Branded extends string | number>(
  value: Branded extends string ? string : number
): Branded => value as unknown as Branded
