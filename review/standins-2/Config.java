import java.util.Locale;

/** Values of the key {@code op/config} with one idempotent route, for large answers. Stateless. */
final class Config {

  private Config() {}

  /** Returns a configuration whose route {@code /read/} goes to the service {@code sheets}. */
  static String reads(int timeoutMillis) {
    return String.format(
        Locale.ROOT,
        """
        {"version":"00000007","routes":[
        {"name":"r-read","host":"jepu9.example","prefix":"/read/","kind":"idempotent",
         "timeout":"%dms","aim":"500ms","priority":1,"service":"sheets","max_attempts":2}],
        "services":[{"name":"sheets","health_path":"/health","max_connections":320}],
        "limits":{"max_header_bytes":16384,"max_body_bytes":67108864,
         "header_timeout":"3000ms","idle_timeout":"15000ms"}}
        """,
        timeoutMillis);
  }
}
