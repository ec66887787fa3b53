/** Makes the compiler prove that a union has been handled whole. */
export const assertNever = (value: never): never => {
  throw new Error(`unhandled value ${JSON.stringify(value)}`)
}
