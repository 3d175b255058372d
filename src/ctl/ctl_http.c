/**
 * @file ctl_http.c
 * @brief Blocking HTTP client on libcurl's easy interface.
 */
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <curl/curl.h>

#include "adapters/http_framing.h"
#include "ctl/ctl_http.h"

/** Maximum time to connect to a VM, ms. */
#define CONNECT_TIMEOUT_MS 3000L
/** A transfer that moves no byte for this time is aborted, s. */
#define STALL_TIMEOUT_S 120L
/** Bytes per megabyte, for the progress line. */
#define MEGABYTE 1e6

/** A transfer in progress. */
typedef struct {
	CURL *curl;
	const jj_ctl_request_t *request;
	jj_ctl_response_t *response;
	bool shows_progress;
	jj_http_framing_t framing; /**< of the current head */
	bool is_http10;
	bool in_head; /**< between a status line and the empty line */
	bool has_head; /**< the end of the head was received */
	bool has_end; /**< the head tells where the body ends */
} transfer_t;

static struct curl_slist *build_headers(const jj_ctl_request_t *);
static void set_common(transfer_t *, const char *, struct curl_slist *);
static void set_body(transfer_t *);
static void record_result(transfer_t *, CURLcode, const char *);
static size_t on_header(char *, size_t, size_t, void *);
static void begin_head(transfer_t *, const char *, size_t);
static bool end_head(transfer_t *);
static void take_header(transfer_t *, const char *, size_t);
static size_t on_body(char *, size_t, size_t, void *);
static size_t on_read(char *, size_t, size_t, void *);
static int on_progress(void *, curl_off_t, curl_off_t, curl_off_t, curl_off_t);
static bool read_header(const char *, size_t, const char *, char *, size_t);

void
jj_ctl_http_send(const jj_ctl_request_t *request, jj_ctl_response_t *response)
{
	transfer_t transfer = {
	    .curl = curl_easy_init(), .request = request, .response = response};
	char why[CURL_ERROR_SIZE] = "";
	struct curl_slist *headers = build_headers(request);
	char *url =
	    g_strdup_printf("http://%s%s", request->address, request->path);
	CURLcode code;

	memset(response, 0, sizeof(*response));
	response->body = g_string_new("");
	if (transfer.curl == NULL) {
		response->result = JJ_CTL_HTTP_NOT_SENT;
		goto out;
	}
	(void)curl_easy_setopt(transfer.curl, CURLOPT_ERRORBUFFER, why);
	set_common(&transfer, url, headers);
	set_body(&transfer);
	code = curl_easy_perform(transfer.curl);
	if (transfer.shows_progress)
		(void)fputc('\n', stderr);
	record_result(&transfer, code, why);
	curl_easy_cleanup(transfer.curl);
out:
	curl_slist_free_all(headers);
	g_free(url);
}

void
jj_ctl_http_clear(jj_ctl_response_t *response)
{
	if (response->body != NULL)
		(void)g_string_free(response->body, TRUE);
	response->body = NULL;
}

static struct curl_slist *
build_headers(const jj_ctl_request_t *request)
{
	/* No "Expect: 100-continue": it would cost a round trip. */
	struct curl_slist *list = curl_slist_append(NULL, "Expect:");
	const jj_ctl_header_t *header = request->headers;
	char *line;

	for (; header->name != NULL; header++) {
		if (header->value == NULL)
			continue;
		line = g_strdup_printf("%s: %s", header->name, header->value);
		list = curl_slist_append(list, line);
		g_free(line);
	}
	return list;
}

static void
set_common(transfer_t *transfer, const char *url, struct curl_slist *headers)
{
	CURL *curl = transfer->curl;
	const jj_ctl_request_t *request = transfer->request;

	(void)curl_easy_setopt(curl, CURLOPT_URL, url);
	(void)curl_easy_setopt(curl, CURLOPT_PROXY, "");
	(void)curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	(void)curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	(void)curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, request->method);
	(void)curl_easy_setopt(
	    curl, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
	(void)curl_easy_setopt(
	    curl, CURLOPT_TIMEOUT_MS, (long)request->timeout_ms);
	(void)curl_easy_setopt(curl, CURLOPT_LOW_SPEED_LIMIT, 1L);
	(void)curl_easy_setopt(curl, CURLOPT_LOW_SPEED_TIME, STALL_TIMEOUT_S);
	(void)curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, on_header);
	(void)curl_easy_setopt(curl, CURLOPT_HEADERDATA, transfer);
	(void)curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, on_body);
	(void)curl_easy_setopt(curl, CURLOPT_WRITEDATA, transfer);
}

static void
set_body(transfer_t *transfer)
{
	CURL *curl = transfer->curl;
	const jj_ctl_request_t *request = transfer->request;

	if (request->upload != NULL) {
		transfer->shows_progress = isatty(STDERR_FILENO) != 0;
		(void)curl_easy_setopt(curl, CURLOPT_POST, 1L);
		(void)curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE_LARGE,
		    (curl_off_t)request->body_size);
		(void)curl_easy_setopt(curl, CURLOPT_READFUNCTION, on_read);
		(void)curl_easy_setopt(curl, CURLOPT_READDATA, request->upload);
		(void)curl_easy_setopt(
		    curl, CURLOPT_XFERINFOFUNCTION, on_progress);
		(void)curl_easy_setopt(curl, CURLOPT_XFERINFODATA, transfer);
		(void)curl_easy_setopt(curl, CURLOPT_NOPROGRESS,
		    transfer->shows_progress ? 0L : 1L);
	} else if (request->body != NULL) {
		(void)curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE_LARGE,
		    (curl_off_t)request->body_size);
		(void)curl_easy_setopt(curl, CURLOPT_POSTFIELDS, request->body);
	} else if (strcmp(request->method, "POST") == 0) {
		(void)curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE, 0L);
		(void)curl_easy_setopt(curl, CURLOPT_POSTFIELDS, "");
	}
}

static void
record_result(transfer_t *transfer, CURLcode code, const char *why)
{
	jj_ctl_response_t *response = transfer->response;
	long sent = 0;

	(void)curl_easy_getinfo(
	    transfer->curl, CURLINFO_RESPONSE_CODE, &response->status);
	(void)curl_easy_getinfo(transfer->curl, CURLINFO_REQUEST_SIZE, &sent);
	if (why[0] == '\0')
		why = curl_easy_strerror(code);
	/* libcurl takes an answer for complete that ends inside its head. */
	if (code == CURLE_OK && !transfer->has_end)
		why = "the connection was closed before the answer's end";
	else if (!jj_http_framing_is_valid(&transfer->framing))
		why = "the answer's headers contradict each other";
	(void)g_strlcpy(response->why, why, sizeof(response->why));
	if (code == CURLE_OK && transfer->has_end)
		response->result = JJ_CTL_HTTP_COMPLETE;
	else if (sent == 0)
		response->result = JJ_CTL_HTTP_NOT_SENT;
	else
		response->result = JJ_CTL_HTTP_INCOMPLETE;
}

static size_t
on_header(char *line, size_t size, size_t count, void *ctx)
{
	transfer_t *transfer = ctx;
	size_t text;

	size *= count;
	text = size;
	while (text > 0 && (line[text - 1] == '\n' || line[text - 1] == '\r'))
		text--;
	if (transfer->has_head)
		return size; /* of the trailer */
	if (!transfer->in_head)
		begin_head(transfer, line, text);
	else if (text > 0)
		take_header(transfer, line, text);
	else if (!end_head(transfer))
		return 0; /* ends the transfer */
	return size;
}

static void
begin_head(transfer_t *transfer, const char *line, size_t size)
{
	jj_ctl_response_t *response = transfer->response;

	memset(&transfer->framing, 0, sizeof(transfer->framing));
	transfer->in_head = true;
	transfer->is_http10 = size >= 8 && strncmp(line, "HTTP/1.0", 8) == 0;
	response->etag[0] = '\0';
	response->content_type[0] = '\0';
	response->retry_after_ms = 0;
}

/**
 * A VM sends a length or chunks; a body that ends with its connection may lack
 * its end. False if the headers contradict each other.
 */
static bool
end_head(transfer_t *transfer)
{
	jj_http_framing_t *framing = &transfer->framing;
	long status = 0;

	transfer->in_head = false;
	(void)curl_easy_getinfo(
	    transfer->curl, CURLINFO_RESPONSE_CODE, &status);
	if (status < 200)
		return true;
	if (framing->has_chunks && transfer->is_http10)
		framing->invalid = true;
	transfer->has_head = true;
	transfer->has_end = jj_http_framing_is_valid(framing) &&
	    (framing->has_length || framing->has_chunks || status == 204 ||
		status == 304);
	return jj_http_framing_is_valid(framing);
}

static void
take_header(transfer_t *transfer, const char *line, size_t size)
{
	jj_ctl_response_t *response = transfer->response;
	char seconds[16];

	jj_http_framing_take_line(&transfer->framing, line, size);
	(void)read_header(
	    line, size, "ETag:", response->etag, sizeof(response->etag));
	(void)read_header(line, size, "Content-Type:", response->content_type,
	    sizeof(response->content_type));
	if (read_header(line, size, "Retry-After:", seconds, sizeof(seconds)))
		response->retry_after_ms = 1000 * (jj_ms_t)atol(seconds);
}

static size_t
on_body(char *data, size_t size, size_t count, void *ctx)
{
	transfer_t *transfer = ctx;
	long status = 0;

	size *= count;
	(void)curl_easy_getinfo(
	    transfer->curl, CURLINFO_RESPONSE_CODE, &status);
	if (transfer->request->on_data != NULL && status == 200) {
		if (!transfer->request->on_data(
			transfer->request->ctx, data, size))
			return 0;
		return size;
	}
	(void)g_string_append_len(transfer->response->body, data, (gssize)size);
	return size;
}

static size_t
on_read(char *data, size_t size, size_t count, void *ctx)
{
	return fread(data, size, count, ctx);
}

static int
on_progress(void *ctx, curl_off_t down_total, curl_off_t down,
    curl_off_t up_total, curl_off_t up)
{
	const transfer_t *transfer = ctx;

	(void)down_total;
	(void)down;
	(void)up_total;
	(void)fprintf(stderr, "\ruploaded %.1f of %.1f MB",
	    (double)up / MEGABYTE,
	    (double)transfer->request->body_size / MEGABYTE);
	return 0;
}

/** Copies the trimmed value of header @p name; false: another header. */
static bool
read_header(const char *line, size_t size, const char *name, char *value,
    size_t value_size)
{
	size_t length = strlen(name);
	char *text;

	if (size < length || g_ascii_strncasecmp(line, name, length) != 0)
		return false;
	text = g_strndup(line + length, size - length);
	(void)g_strlcpy(value, g_strstrip(text), value_size);
	g_free(text);
	return true;
}
